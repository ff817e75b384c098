package io.cardamomshelf.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.node.port.StoredRecord;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which records the view of the jobs ignores, and which it reports. */
class JobsViewTest {

    private final List<Long> schedulerOffsets = new ArrayList<>();
    private final JobsView view =
            new JobsView(
                    new JobsView.Listener() {
                        @Override
                        public void jobChanged(JobsView.Entry entry) {}

                        @Override
                        public void leaderRecordRead(JobRecords.Leader leader) {}

                        @Override
                        public void schedulerRecordRead(long offset) {
                            schedulerOffsets.add(offset);
                        }

                        @Override
                        public void caughtUp() {}
                    });

    @Nested
    class MalformedRecords {

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "", ":", "a:", "a: ", "c:", "p:", "w:", "leader", "leader:", "x:1", "e:", "e:1:"
                })
        void areIgnored(String key) {
            view.apply(new StoredRecord(key, "{[".getBytes(StandardCharsets.UTF_8), 1));
            view.apply(new StoredRecord(key, new byte[0], 2));
            assertEquals(0, view.acceptedJobs().size());
        }
    }

    @Nested
    class RecordsOfASchedulerThatAreLoadedAtOnce {

        /** Guards against an append that is confirmed by a later scheduler's records. */
        @Test
        void areNotReported() {
            StoredRecord drop = JobRecords.workerDropped(WorkerId.of("w1"));
            view.replace(List.of(new StoredRecord(drop.key(), drop.value(), 7)));
            assertEquals(List.of(), schedulerOffsets);
            view.apply(new StoredRecord(drop.key(), drop.value(), 8));
            assertEquals(List.of(8L), schedulerOffsets);
        }
    }
}
