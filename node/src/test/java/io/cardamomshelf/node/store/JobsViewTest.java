package io.cardamomshelf.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.node.port.StoredRecord;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which records the view of the jobs ignores. */
class JobsViewTest {

    private final JobsView view =
            new JobsView(
                    new JobsView.Listener() {
                        @Override
                        public void jobChanged(JobsView.Entry entry) {}

                        @Override
                        public void leaderRecordRead(JobRecords.Leader leader) {}

                        @Override
                        public void caughtUp() {}
                    });

    @Nested
    class MalformedRecords {

        @ParameterizedTest
        @ValueSource(strings = {"", ":", "a:", "a: ", "c:", "p:", "w:", "leader", "leader:", "x:1"})
        void areIgnored(String key) {
            view.apply(new StoredRecord(key, "{[".getBytes(StandardCharsets.UTF_8), 1));
            view.apply(new StoredRecord(key, new byte[0], 2));
            assertEquals(0, view.acceptedJobs().size());
        }
    }
}
