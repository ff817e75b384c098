/** The elected scheduler: leadership, rounds of decisions, orders to workers. */
package io.cardamomshelf.node.schedule;
