/**
 * The configuration by the operators: the list of plans, the list of grants, the edits of both, and
 * the fold of the edits into a state.
 */
package io.cardamomshelf.core.config;
