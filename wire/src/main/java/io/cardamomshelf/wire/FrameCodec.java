package io.cardamomshelf.wire;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes messages into frames, and decodes the bytes received on a connection into messages.
 *
 * <p>Use: one codec for each connection, with {@code write(codec.encode(message))} to send, and
 * {@code for (PeerMessage message : codec.decode(bytes))} whenever bytes are received.
 *
 * <p>A frame is a 4-byte length (big endian, without the length field itself), a version byte and a
 * MessagePack map. Limits: a frame has at most 1 MiB. After a refused frame the codec refuses all
 * further bytes.
 *
 * <p>Not thread-safe: belongs to its connection's event loop.
 */
public final class FrameCodec {

    /** The version byte of the frames that this codec writes and reads. */
    public static final byte VERSION = 1;

    /** The largest frame, without its length field, in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    private static final int LENGTH_BYTES = Integer.BYTES;
    private static final int MAX_NESTING_DEPTH = 16;
    private static final ObjectMapper MAPPER = mapper();

    private byte[] pending = new byte[0];
    private boolean failed;

    /** Creates a codec for a new connection. */
    public FrameCodec() {}

    /**
     * Encodes a message.
     *
     * @param message the message, not null
     * @return the frame's bytes, never null
     * @throws FrameException if the message is larger than a frame may be
     */
    public byte[] encode(PeerMessage message) throws FrameException {
        byte[] body = serialise(message);
        int length = body.length + 1;
        if (length > MAX_FRAME_BYTES) {
            throw new FrameException(
                    "frame of " + length + " bytes; allowed are 1 to " + MAX_FRAME_BYTES);
        }
        return ByteBuffer.allocate(LENGTH_BYTES + length)
                .putInt(length)
                .put(VERSION)
                .put(body)
                .array();
    }

    /**
     * Decodes received bytes. Bytes of an incomplete frame are kept until the rest is received.
     *
     * @param bytes the received bytes, not null
     * @return the messages that are complete now, in order, never null
     * @throws FrameException if a frame can't be read; the caller must close the connection
     */
    public List<PeerMessage> decode(byte[] bytes) throws FrameException {
        if (failed) {
            throw new FrameException("an earlier frame was refused");
        }
        ByteBuffer buffer =
                ByteBuffer.allocate(pending.length + bytes.length).put(pending).put(bytes).flip();
        List<PeerMessage> messages = new ArrayList<>();
        try {
            while (hasCompleteFrame(buffer)) {
                messages.add(readFrame(buffer));
            }
        } catch (FrameException e) {
            failed = true;
            throw e;
        }
        pending = new byte[buffer.remaining()];
        buffer.get(pending);
        return messages;
    }

    private static boolean hasCompleteFrame(ByteBuffer buffer) throws FrameException {
        if (buffer.remaining() < LENGTH_BYTES) {
            return false;
        }
        int length = buffer.getInt(buffer.position());
        if (length < 1 || length > MAX_FRAME_BYTES) {
            throw new FrameException(
                    "frame of " + length + " bytes; allowed are 1 to " + MAX_FRAME_BYTES);
        }
        return buffer.remaining() >= LENGTH_BYTES + length;
    }

    private static PeerMessage readFrame(ByteBuffer buffer) throws FrameException {
        int length = buffer.getInt();
        byte version = buffer.get();
        if (version != VERSION) {
            throw new FrameException("frame of version " + version + "; allowed is " + VERSION);
        }
        byte[] body = new byte[length - 1];
        buffer.get(body);
        return parse(body);
    }

    private static PeerMessage parse(byte[] body) throws FrameException {
        try {
            PeerMessage message = MAPPER.readValue(body, PeerMessage.class);
            if (message == null) {
                throw new FrameException("frame holds no message");
            }
            return message;
        } catch (IOException | RuntimeException e) {
            throw new FrameException("frame can't be read: " + e.getClass().getSimpleName(), e);
        }
    }

    private static byte[] serialise(PeerMessage message) throws FrameException {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException e) {
            throw new FrameException("message can't be written: " + message.getClass(), e);
        }
    }

    private static ObjectMapper mapper() {
        MessagePackFactory factory = new MessagePackFactory();
        factory.setStreamReadConstraints(
                StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_NESTING_DEPTH)
                        .maxStringLength(MAX_FRAME_BYTES)
                        .build());
        return new ObjectMapper(factory)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }
}
