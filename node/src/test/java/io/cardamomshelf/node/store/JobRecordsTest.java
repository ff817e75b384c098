package io.cardamomshelf.node.store;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.cardamomshelf.node.port.StoredRecord;
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
}
