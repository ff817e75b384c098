/** The operators' command {@code cardamomshelf}: one small class for each subcommand. */
package io.cardamomshelf.cli;
