/** Identifiers, endpoints and argument checks that all other packages use. */
package io.cardamomshelf.core.base;
