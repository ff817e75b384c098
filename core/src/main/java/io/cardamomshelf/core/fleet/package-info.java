/**
 * Workers and their accelerators, the indexes of available cells, and the placements of jobs on
 * them.
 */
package io.cardamomshelf.core.fleet;
