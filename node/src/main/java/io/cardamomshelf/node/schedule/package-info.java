/** Election of the scheduler, its scheduling rounds, and its calls to workers. */
package io.cardamomshelf.node.schedule;
