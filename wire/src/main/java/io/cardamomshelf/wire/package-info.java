/** Frames and typed messages between entry instances. */
package io.cardamomshelf.wire;
