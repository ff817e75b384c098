/** Requests to upstreams: verdicts, limits, retries and the choice of an upstream. */
package io.cardamomshelf.core.request;
