package io.cardamomshelf.standin.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.standin.platform.Topic.SequenceCheck;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests the topics of the store's stand-in. */
class TopicTest {

    private static final String PRODUCER = "scheduler";
    private static final byte[] VALUE = {1};

    private final Topic topic = new Topic();

    private void append(long epoch, long sequence) {
        assertEquals(SequenceCheck.FRESH, topic.checkSequence(PRODUCER, epoch, sequence));
        topic.rememberOffset(PRODUCER, sequence, topic.append("key-" + sequence, VALUE));
    }

    @Nested
    class Repeats {

        @Test
        void lastFiveAppendsGetTheirFirstAnswerAgain() {
            for (long sequence = 10; sequence < 16; sequence++) {
                append(1, sequence);
            }
            for (long sequence = 11; sequence < 16; sequence++) {
                assertEquals(SequenceCheck.REPEATED, topic.checkSequence(PRODUCER, 1, sequence));
                assertEquals(sequence - 10, topic.offsetOf(PRODUCER, sequence));
            }
            assertEquals(SequenceCheck.WRONG_SEQUENCE, topic.checkSequence(PRODUCER, 1, 10));
            assertEquals(SequenceCheck.FRESH, topic.checkSequence(PRODUCER, 1, 16));
        }

        @Test
        void higherEpochStartsAnewAndFencesTheLowerOne() {
            append(1, 10);
            append(2, 10);
            assertEquals(1, topic.offsetOf(PRODUCER, 10));
            assertEquals(SequenceCheck.FENCED, topic.checkSequence(PRODUCER, 1, 11));
        }
    }

    @Nested
    class History {

        @Test
        void expiresButKeepsTheNewestRecordOfEachKey() {
            append(1, 10);
            append(1, 11);
            topic.expireBefore(Long.MAX_VALUE);
            assertEquals(2, topic.firstOffset());
            assertEquals(2, topic.newest().size());
        }

        @Test
        void keepsWhatIsYoungEnough() {
            append(1, 10);
            topic.expireBefore(0);
            assertEquals(0, topic.firstOffset());
        }
    }
}
