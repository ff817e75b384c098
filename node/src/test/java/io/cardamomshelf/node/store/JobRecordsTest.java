package io.cardamomshelf.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.task.CompletedSteps;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.JobState;
import io.cardamomshelf.core.task.RunHosts;
import io.cardamomshelf.core.task.TaskSet;
import io.cardamomshelf.node.port.StoredRecord;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Tests that records of other versions can be read. */
class JobRecordsTest {

    private static JobRecords.Leader read(Map<String, Object> fields) throws Exception {
        byte[] value = new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(fields);
        return JobRecords.read(StoredRecord.of("leader", value), JobRecords.Leader.class);
    }

    @Nested
    class LeaderRecords {

        @Test
        void withoutACandidacyHaveCandidacyZero() throws Exception {
            assertEquals(
                    new JobRecords.Leader("one", 7, false, true, 0),
                    read(Map.of("holder", "one", "epoch", 7, "resigned", false, "settled", true)));
        }

        @Test
        void withAnUnknownFieldAreRead() throws Exception {
            assertEquals(
                    new JobRecords.Leader("one", 7, true, false, 5),
                    read(
                            Map.of(
                                    "holder",
                                    "one",
                                    "epoch",
                                    7,
                                    "resigned",
                                    true,
                                    "settled",
                                    false,
                                    "candidacy",
                                    5,
                                    "later",
                                    "text")));
        }
    }

    /** Guards against a record that outgrows the store's limit with the occurrences done. */
    @Nested
    class ProgressRecords {

        private static final int STEPS = 100;
        private static final int OCCURRENCES = 100_000;
        private static final int OPEN_OCCURRENCES = 90;

        /** Far below the 262,144 bytes that the platform's store takes. */
        private static final int MAX_BYTES = 16_384;

        private JobProgress progress(int firstOpen) {
            Map<Integer, BitSet> stepsDone = new HashMap<>();
            for (int i = 0; i < OPEN_OCCURRENCES; i++) {
                BitSet steps = new BitSet();
                steps.set(0, STEPS - 1 - i);
                stepsDone.put(firstOpen + i, steps);
            }
            return new JobProgress(
                    JobState.RUNNING,
                    List.of(),
                    RunHosts.ANYWHERE,
                    new CompletedSteps(firstOpen, new BitSet(), stepsDone),
                    TaskSet.NONE);
        }

        @Test
        void ofAJobWithManyOccurrencesStayShort() throws Exception {
            JobProgress progress = progress(OCCURRENCES - OPEN_OCCURRENCES);
            StoredRecord record = JobRecords.progress(JobId.of("00000000000000aa"), progress);
            assertTrue(record.sizeBytes() < MAX_BYTES, record.sizeBytes() + " bytes");
            assertEquals(progress, JobRecords.read(record, JobProgress.class));
        }

        @Test
        void withoutCompletedStepsAreRead() throws Exception {
            byte[] value =
                    new ObjectMapper(new MessagePackFactory())
                            .writeValueAsBytes(Map.of("state", "RUNNING", "steps", List.of()));
            JobProgress read = JobRecords.read(StoredRecord.of("p:x", value), JobProgress.class);
            assertEquals(CompletedSteps.NONE, read.completed());
        }
    }
}
