/** Jobs: their records, queue, guarantees, placement and scheduling rounds. */
package io.cardamomshelf.core.job;
