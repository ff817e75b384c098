/** Benchmarks of decisions on a virtual clock, and of what the target size costs. */
package io.cardamomshelf.bench;
