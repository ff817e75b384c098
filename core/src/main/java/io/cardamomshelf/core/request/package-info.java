/** Requests to upstreams: verdicts, limits, retries, idempotency keys and load balancing. */
package io.cardamomshelf.core.request;
