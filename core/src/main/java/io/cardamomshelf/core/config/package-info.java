/** The two lists of the operators, their edits, and the fold that makes a state of them. */
package io.cardamomshelf.core.config;
