/** Whole sessions over separate processes: a launcher, the demo, and what tests share. */
package io.cardamomshelf.sessions;
