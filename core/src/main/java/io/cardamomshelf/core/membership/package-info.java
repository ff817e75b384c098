/** Live and draining instances, and the choice of the instance responsible for a key. */
package io.cardamomshelf.core.membership;
