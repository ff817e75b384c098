/** What the service needs of the platform it runs on, in its own words. */
package io.cardamomshelf.node.port;
