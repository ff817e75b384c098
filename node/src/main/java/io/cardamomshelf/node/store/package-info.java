/** Follows the stored records and appends to them. */
package io.cardamomshelf.node.store;
