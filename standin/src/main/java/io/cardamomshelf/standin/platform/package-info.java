/** Small stand-ins of the users' platform: its store and its workers, as they speak on the wire. */
package io.cardamomshelf.standin.platform;
