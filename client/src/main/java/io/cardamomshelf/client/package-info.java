/**
 * Clients of the platform: its log, its list of instances and its workers; and the formats they
 * share.
 */
package io.cardamomshelf.client;
