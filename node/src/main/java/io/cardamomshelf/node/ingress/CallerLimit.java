package io.cardamomshelf.node.ingress;

/** A limit that a client exceeded; each has a counter. */
enum CallerLimit {
    /** The total number of connections. */
    CONNECTIONS,
    /** The number of connections from one address. */
    ADDRESS,
    /** The time for the head of a request. */
    HEAD_TIME,
    /** The rate at which a body is sent or a response is read. */
    RATE,
    /** The total size of bodies. */
    BODY_BYTES,
    /** The total size of unread responses and waiting requests. */
    QUEUED_BYTES,
    /** The number of unanswered requests of a connection. */
    PIPELINE,
    /** The number of tokens or the nesting depth of a document. */
    DOCUMENT,
    /** The number of cancellations of jobs that aren't stored. */
    EARLY_CANCELLATIONS
}
