/** The settings of an entry instance, read of YAML and checked at start. */
package io.cardamomshelf.entry.settings;
