/** The scheduling service on one machine: its parts wired together. */
package io.cardamomshelf.node;
