/** The messages between entry instances and their encoding into frames. */
package io.cardamomshelf.wire;
