package io.cardamomshelf.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.schedule.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests which differences between the clocks are reported. */
class ClockJumpDetectorTest {

    private final ClockJumpDetector detector = new ClockJumpDetector(new ClockReading(0, 10_000));

    @Nested
    class AJump {

        @Test
        void isReportedOnceAfterASuspension() {
            assertEquals(5_000, detector.jumpMillis(new ClockReading(100, 15_100)));
            assertEquals(0, detector.jumpMillis(new ClockReading(200, 15_200)));
        }

        @Test
        void isNotReportedWhileBothClocksAdvance() {
            assertEquals(0, detector.jumpMillis(new ClockReading(7_000, 17_010)));
        }

        @Test
        void isNotReportedIfTheWallClockIsSetBack() {
            assertEquals(0, detector.jumpMillis(new ClockReading(100, 4_100)));
            assertEquals(0, detector.jumpMillis(new ClockReading(200, 4_200)));
        }
    }
}
