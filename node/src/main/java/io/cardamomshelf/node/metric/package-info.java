/** Counters and latency histograms, and the address where they are read. */
package io.cardamomshelf.node.metric;
