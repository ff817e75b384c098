/**
 * HTTP clients of the platform's log, list of instances, workers and upstreams and of the entry
 * instances, and the JSON and YAML formats that they share.
 */
package io.cardamomshelf.client;
