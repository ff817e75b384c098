/** HTTP requests whose responses are received whole, within a limit. */
package io.cardamomshelf.http;
