/** Jobs, their acceptance, their queue and the steps of a gang. */
package io.cardamomshelf.core.job;
