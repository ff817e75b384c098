package io.cardamomshelf.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests tasks that are run repeatedly. */
class TimersTest {

    private final VirtualTime time = new VirtualTime();

    @Nested
    class RepeatedTask {

        @Test
        void isRunAgainAfterItFailed() {
            AtomicInteger executions = new AtomicInteger();
            time.every(
                    100,
                    () -> {
                        if (executions.incrementAndGet() == 1) {
                            throw new IllegalStateException("fails once");
                        }
                    });
            assertThrows(IllegalStateException.class, () -> time.advance(150));
            time.advance(400);
            assertEquals(5, executions.get());
        }
    }
}
