/** The operators' command {@code cardamomshelf}, with one class for each subcommand. */
package io.cardamomshelf.cli;
