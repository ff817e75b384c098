/** One instance of the scheduling service, assembled from its parts. */
package io.cardamomshelf.node;
