/** The settings of one instance of the service. */
package io.cardamomshelf.node.settings;
