/** Jobs of steps and tasks: the callers' requests, and the progress of the jobs. */
package io.cardamomshelf.core.task;
