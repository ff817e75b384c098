/** Every decision of the scheduler, without input, output, clock, thread or randomness. */
package io.cardamomshelf.core;
