/** Views of the stored streams, the formats of stored records, and the scheduler's appends. */
package io.cardamomshelf.node.store;
