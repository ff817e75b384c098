/** Benchmarks of decisions on a virtual clock, and of the cost of running at the target size. */
package io.cardamomshelf.bench;
