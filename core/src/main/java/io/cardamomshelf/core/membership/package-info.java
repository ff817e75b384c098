/** Live and leaving instances, and who is responsible for what. */
package io.cardamomshelf.core.membership;
