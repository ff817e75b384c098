package io.cardamomshelf.standin;

import io.smallrye.mutiny.Uni;

/** A stand-in that listens on a port of the loopback address. */
public interface Standin {

    /**
     * Starts listening.
     *
     * @param port the port, 0 to let the system choose one
     * @return the port that it listens on
     */
    Uni<Integer> start(int port);

    /**
     * Stops listening.
     *
     * @return nothing, once it has stopped
     */
    Uni<Void> stop();
}
