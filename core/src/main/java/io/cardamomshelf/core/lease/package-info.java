/** Leases that workers hold for gangs, what workers report of them, and the steps of a gang. */
package io.cardamomshelf.core.lease;
