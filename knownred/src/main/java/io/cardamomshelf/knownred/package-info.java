/** Passes over just the tests listed in KNOWN-RED.txt, and prints them. */
package io.cardamomshelf.knownred;
