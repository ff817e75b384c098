package io.cardamomshelf.sessions;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetSocket;
import java.util.HashSet;
import java.util.Set;

/**
 * A relay on loopback between one instance and one worker, with faults.
 *
 * <p>Bytes that a fault holds back are delivered when it ends, as a network's retransmissions would
 * do. Not thread-safe: call it on its event loop only.
 */
final class SoakRelay {

    private static final String HOST = "127.0.0.1";
    private static final long DELAY_MILLIS = 150;

    /** What a relay does to the connections through it. */
    enum Fault {
        NONE,
        DELAYED,
        RESET,
        REQUESTS_HELD,
        ANSWERS_HELD,
        SILENT;

        private boolean isHolding(boolean isRequest) {
            return this == SILENT || this == (isRequest ? REQUESTS_HELD : ANSWERS_HELD);
        }
    }

    /** One direction of a connection. */
    private final class Pipe {
        private final NetSocket from;
        private final NetSocket to;
        private final boolean isRequest;
        private Buffer held = Buffer.buffer();
        private boolean isWaiting;

        private Pipe(NetSocket from, NetSocket to, boolean isRequest) {
            this.from = from;
            this.to = to;
            this.isRequest = isRequest;
            from.handler(this::take);
            from.closeHandler(none -> to.close());
            // A reset is followed by the close.
            from.exceptionHandler(failure -> held = Buffer.buffer());
        }

        private void take(Buffer bytes) {
            held.appendBuffer(bytes);
            if (!isWaiting) {
                isWaiting = fault == Fault.DELAYED;
                if (isWaiting) {
                    vertx.setTimer(
                            DELAY_MILLIS,
                            timer -> {
                                isWaiting = false;
                                flush();
                            });
                } else {
                    flush();
                }
            }
        }

        private void flush() {
            if (held.length() > 0 && !isWaiting && !fault.isHolding(isRequest)) {
                Buffer due = held;
                held = Buffer.buffer();
                to.write(due);
            }
        }
    }

    private final Vertx vertx;
    private final int targetPort;
    private final NetClient client;
    private final Set<Pipe> pipes = new HashSet<>();
    private Fault fault = Fault.NONE;

    /** Creates a relay whose connections to the target come from a loopback address. */
    SoakRelay(Vertx vertx, int targetPort, String sourceAddress) {
        this.vertx = vertx;
        this.targetPort = targetPort;
        client = vertx.createNetClient(new NetClientOptions().setLocalAddress(sourceAddress));
    }

    /** Starts listening and returns once it does. */
    void listen(String host, int port) {
        vertx.createNetServer()
                .connectHandler(this::connect)
                .listen(port, host)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    private void connect(NetSocket caller) {
        if (fault == Fault.RESET) {
            caller.close();
            return;
        }
        caller.pause();
        client.connect(targetPort, HOST)
                .onFailure(failure -> caller.close())
                .onSuccess(worker -> link(caller, worker));
    }

    private void link(NetSocket caller, NetSocket worker) {
        Pipe requests = new Pipe(caller, worker, true);
        Pipe answers = new Pipe(worker, caller, false);
        pipes.add(requests);
        pipes.add(answers);
        worker.endHandler(none -> pipes.remove(requests));
        caller.endHandler(none -> pipes.remove(answers));
        caller.resume();
    }

    void setFault(Fault newFault) {
        fault = newFault;
        if (newFault == Fault.RESET) {
            Set.copyOf(pipes).forEach(pipe -> pipe.from.close());
        } else {
            Set.copyOf(pipes).forEach(Pipe::flush);
        }
    }
}
