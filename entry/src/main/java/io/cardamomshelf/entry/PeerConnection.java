package io.cardamomshelf.entry;

import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.wire.FrameCodec;
import io.cardamomshelf.wire.FrameException;
import io.cardamomshelf.wire.PeerMessage;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.net.NetSocket;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One connection to or from another entry. An unreadable frame publishes an event and closes this
 * connection only.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class PeerConnection {

    /** Receives the messages of a connection. */
    interface Receiver {
        void receive(PeerConnection from, PeerMessage message) throws FrameException;
    }

    private final NetSocket socket;
    private final Events events;
    private final Receiver receiver;
    private final FrameCodec codec = new FrameCodec();
    private InstanceId peerRun;
    private DataCentreId dataCentre;

    PeerConnection(
            NetSocket socket,
            Events events,
            Receiver receiver,
            Consumer<PeerConnection> closeHandler) {
        this.socket = socket;
        this.events = events;
        this.receiver = receiver;
        socket.handler(this::bytesReceived);
        socket.exceptionHandler(failure -> {});
        socket.closeHandler(() -> closeHandler.accept(this));
    }

    void identify(InstanceId announcedRun, DataCentreId announcedDataCentre) {
        peerRun = announcedRun;
        dataCentre = announcedDataCentre;
    }

    boolean isConnectedTo(InstanceId other) {
        return other.equals(peerRun);
    }

    Optional<DataCentreId> dataCentre() {
        return Optional.ofNullable(dataCentre);
    }

    void send(PeerMessage message) {
        try {
            socket.writeAndForget(Buffer.buffer(codec.encode(message)));
        } catch (FrameException e) {
            events.publish(EventType.FRAME_REFUSED, "" + peerRun, "not sent: " + e.getMessage());
        }
    }

    void refuse(String reason) {
        events.publish(EventType.FRAME_REFUSED, "" + peerRun, reason);
        close();
    }

    void close() {
        socket.closeAndForget();
    }

    private void bytesReceived(Buffer bytes) {
        try {
            for (PeerMessage message : codec.decode(bytes.getBytes())) {
                receiver.receive(this, message);
            }
        } catch (FrameException e) {
            refuse(e.getMessage());
        }
    }
}
