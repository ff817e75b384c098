/** Small stand-ins for the users' platform: its store and its workers, with their wire formats. */
package io.cardamomshelf.standin.platform;
