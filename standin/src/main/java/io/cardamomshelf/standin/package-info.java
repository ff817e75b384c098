/**
 * Small stand-ins of the platform and the workers, each a process of its own or used in-process.
 */
package io.cardamomshelf.standin;
