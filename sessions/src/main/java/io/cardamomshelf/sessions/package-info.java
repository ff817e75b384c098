/** Deployments of separate processes for the demo and for tests, and the sessions run on them. */
package io.cardamomshelf.sessions;
