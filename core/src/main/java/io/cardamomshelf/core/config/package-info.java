/**
 * The configuration by the operators: the list of plans, the list of grants and data centres, the
 * edits of both lists, and the fold of the edits into a state.
 */
package io.cardamomshelf.core.config;
