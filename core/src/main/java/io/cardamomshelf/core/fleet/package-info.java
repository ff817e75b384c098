/** Workers, their accelerators, the index of free cells, and placements on them. */
package io.cardamomshelf.core.fleet;
