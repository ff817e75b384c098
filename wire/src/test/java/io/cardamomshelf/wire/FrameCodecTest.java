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

/** Frames: whole, split, garbled and oversized. */
class FrameCodecTest {

    private static final PeerMessage BEAT =
            new PeerMessage.Heartbeat("entry-1.a", 1_000, 2, 41, true, false);

    @Nested
    class Whole {

        @Test
        void comesBackAsItWent() throws FrameException {
            assertEquals(List.of(BEAT), new FrameCodec().decode(new FrameCodec().encode(BEAT)));
        }

        @Test
        void twoInOneArrivalComeBackInOrder() throws FrameException {
            PeerMessage hello = new PeerMessage.Hello("entry-1.a", "jhb-a");
            byte[] first = new FrameCodec().encode(hello);
            byte[] second = new FrameCodec().encode(BEAT);
            byte[] both =
                    ByteBuffer.allocate(first.length + second.length)
                            .put(first)
                            .put(second)
                            .array();
            assertEquals(List.of(hello, BEAT), new FrameCodec().decode(both));
        }
    }

    @Nested
    class Refused {

        @Test
        void oversizedLength() {
            byte[] frame = ByteBuffer.allocate(8).putInt(FrameCodec.MAX_FRAME_BYTES + 1).array();
            assertThrows(FrameException.class, () -> new FrameCodec().decode(frame));
        }

        @Test
        void otherVersion() throws FrameException {
            byte[] frame = new FrameCodec().encode(BEAT);
            frame[Integer.BYTES] = FrameCodec.VERSION + 1;
            assertThrows(FrameException.class, () -> new FrameCodec().decode(frame));
        }

        @Test
        void everythingAfterARefusedFrame() throws FrameException {
            FrameCodec codec = new FrameCodec();
            assertThrows(FrameException.class, () -> codec.decode(new byte[] {0, 0, 0, 0}));
            byte[] good = new FrameCodec().encode(BEAT);
            assertThrows(FrameException.class, () -> codec.decode(good));
        }

        @Test
        void messageLongerThanAFrame() {
            String text = "x".repeat(FrameCodec.MAX_FRAME_BYTES);
            PeerMessage message = new PeerMessage.FoldReply(1, text);
            assertThrows(FrameException.class, () -> new FrameCodec().encode(message));
        }
    }

    @Property(tries = 300, seed = "41")
    void aFrameCutAnywhereComesBackWhole(@ForAll @IntRange(min = 0, max = 200) int cut)
            throws FrameException {
        byte[] frame = new FrameCodec().encode(BEAT);
        int at = cut % frame.length;
        FrameCodec codec = new FrameCodec();
        List<PeerMessage> messages = new ArrayList<>(codec.decode(Arrays.copyOf(frame, at)));
        messages.addAll(codec.decode(Arrays.copyOfRange(frame, at, frame.length)));
        assertEquals(List.of(BEAT), messages);
    }

    @Property(tries = 2_000, seed = "42")
    void anyBytesAreReadOrRefused(@ForAll @Size(max = 200) byte[] bytes) {
        FrameCodec codec = new FrameCodec();
        try {
            codec.decode(bytes);
        } catch (FrameException e) {
            assertTrue(e.getMessage().startsWith("frame "), e.getMessage());
        }
    }

    @Property(tries = 2_000, seed = "43")
    void aFrameWithGarbledBodyIsReadOrRefused(
            @ForAll @IntRange(min = 5, max = 60) int at, @ForAll byte value) throws FrameException {
        byte[] frame = new FrameCodec().encode(BEAT);
        frame[at % frame.length] = value;
        try {
            new FrameCodec().decode(frame);
        } catch (FrameException e) {
            assertTrue(e.getMessage().startsWith("frame "), e.getMessage());
        }
    }
}
