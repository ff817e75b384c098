/** Leases that workers hold for gangs, the reports on them, and the decisions on a gang. */
package io.cardamomshelf.core.lease;
