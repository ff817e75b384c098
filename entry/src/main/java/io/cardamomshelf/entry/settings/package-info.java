/** The settings of an entry instance, read from YAML and checked at start. */
package io.cardamomshelf.entry.settings;
