package io.cardamomshelf.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of complete, split, corrupted and oversized frames. */
class FrameCodecTest {

    private static final PeerMessage HEARTBEAT =
            new PeerMessage.Heartbeat("entry-1.a", 1_000, 2, 41, true, false);

    @Nested
    class CompleteFrames {

        @Test
        void decodesToTheEncodedMessage() throws FrameException {
            assertEquals(
                    List.of(HEARTBEAT),
                    new FrameCodec().decode(new FrameCodec().encode(HEARTBEAT)));
        }

        @Test
        void twoInOneBufferAreDecodedInOrder() throws FrameException {
            PeerMessage hello = new PeerMessage.Hello("entry-1.a", "jhb-a");
            byte[] first = new FrameCodec().encode(hello);
            byte[] second = new FrameCodec().encode(HEARTBEAT);
            byte[] buffer =
                    ByteBuffer.allocate(first.length + second.length)
                            .put(first)
                            .put(second)
                            .array();
            assertEquals(List.of(hello, HEARTBEAT), new FrameCodec().decode(buffer));
        }
    }

    @Nested
    class Refuses {

        @Test
        void lengthAboveTheLimit() {
            byte[] frame = ByteBuffer.allocate(8).putInt(FrameCodec.MAX_FRAME_BYTES + 1).array();
            assertThrows(FrameException.class, () -> new FrameCodec().decode(frame));
        }

        @Test
        void anotherVersion() throws FrameException {
            byte[] frame = new FrameCodec().encode(HEARTBEAT);
            frame[Integer.BYTES] = FrameCodec.VERSION + 1;
            assertThrows(FrameException.class, () -> new FrameCodec().decode(frame));
        }

        @Test
        void everythingAfterARefusedFrame() throws FrameException {
            FrameCodec codec = new FrameCodec();
            assertThrows(FrameException.class, () -> codec.decode(new byte[] {0, 0, 0, 0}));
            byte[] validFrame = new FrameCodec().encode(HEARTBEAT);
            assertThrows(FrameException.class, () -> codec.decode(validFrame));
        }

        @Test
        void messageLargerThanAFrame() {
            String text = "x".repeat(FrameCodec.MAX_FRAME_BYTES);
            PeerMessage message = new PeerMessage.FoldReply(1, text);
            assertThrows(FrameException.class, () -> new FrameCodec().encode(message));
        }
    }

    @Property(tries = 300, seed = "41")
    void frameSplitAtAnyByteIsDecoded(@ForAll @IntRange(min = 0, max = 200) int cut)
            throws FrameException {
        byte[] frame = new FrameCodec().encode(HEARTBEAT);
        int splitIndex = cut % frame.length;
        FrameCodec codec = new FrameCodec();
        List<PeerMessage> messages =
                new ArrayList<>(codec.decode(Arrays.copyOf(frame, splitIndex)));
        messages.addAll(codec.decode(Arrays.copyOfRange(frame, splitIndex, frame.length)));
        assertEquals(List.of(HEARTBEAT), messages);
    }

    @Property(tries = 2_000, seed = "42")
    void arbitraryBytesAreDecodedOrRefused(@ForAll @Size(max = 200) byte[] bytes) {
        FrameCodec codec = new FrameCodec();
        try {
            codec.decode(bytes);
        } catch (FrameException e) {
            assertTrue(e.getMessage().startsWith("frame "), e.getMessage());
        }
    }

    @Property(tries = 2_000, seed = "43")
    void frameWithACorruptedByteIsDecodedOrRefused(
            @ForAll @IntRange(min = 5, max = 60) int index, @ForAll byte value)
            throws FrameException {
        byte[] frame = new FrameCodec().encode(HEARTBEAT);
        frame[index % frame.length] = value;
        try {
            new FrameCodec().decode(frame);
        } catch (FrameException e) {
            assertTrue(e.getMessage().startsWith("frame "), e.getMessage());
        }
    }
}
