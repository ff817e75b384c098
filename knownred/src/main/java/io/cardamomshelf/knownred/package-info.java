/** A JUnit extension that tolerates and prints failures of just the tests in KNOWN-RED.txt. */
package io.cardamomshelf.knownred;
