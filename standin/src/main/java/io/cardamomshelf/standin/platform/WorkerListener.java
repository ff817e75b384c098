package io.cardamomshelf.standin.platform;

/** Receives what the stand-ins of workers do and see. All times are in Unix milliseconds. */
interface WorkerListener {

    /** A start that a worker carried out, and the caller's address. */
    record Start(String task, long run, String spec, long token, String caller) {}

    /** A worker has started; it runs nothing. */
    default void up(String worker, long bornMillis) {}

    /** A worker's lease was extended. */
    default void leased(String worker, long untilMillis) {}

    /** A run has begun. */
    void began(String worker, Start start);

    /** A run has ended, or its worker has. */
    void ended(String worker, String task, long run, String outcome, long number);

    /** All ends up to a number were acknowledged. */
    default void acknowledged(String worker, long number) {}

    /** A caller used a fencing token. */
    default void called(String worker, String caller, long token) {}
}
