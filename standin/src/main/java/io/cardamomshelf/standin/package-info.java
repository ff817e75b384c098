/** Small stand-ins for the platform and the workers, run as separate processes or in-process. */
package io.cardamomshelf.standin;
