/** The settings of one machine. */
package io.cardamomshelf.node.settings;
