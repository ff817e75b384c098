/** Jobs of steps and tasks: what was asked for, and how far it has come. */
package io.cardamomshelf.core.task;
