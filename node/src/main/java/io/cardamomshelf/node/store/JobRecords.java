package io.cardamomshelf.node.store;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.deser.std.StdDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdSerializer;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.schedule.WorkerInfo;
import io.cardamomshelf.core.task.JobProgress;
import io.cardamomshelf.core.task.TaskJob;
import io.cardamomshelf.node.port.StoreException;
import io.cardamomshelf.node.port.StoredRecord;
import java.io.IOException;
import java.util.BitSet;
import java.util.List;
import java.util.function.Function;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Formats of the records that this service writes to the jobs' stream, in MessagePack.
 *
 * <p>Each kind of record has its own key, so that a late append of one writer never overwrites the
 * record of another one: {@code a:ID} is the accepted job, {@code c:ID} its cancellation, {@code
 * p:ID} its progress, {@code leader} the scheduler, {@code w:ID} a worker that may get runs. {@code
 * e:ID:NUMBER} is a cancellation that came before the job; its random number keeps it apart from
 * others for the same identifier, which may be of other organisations.
 *
 * <p>Stateless and thread-safe.
 */
public final class JobRecords {

    /** The kinds of records. */
    public enum Kind {
        /** An accepted job. */
        ACCEPTED,
        /** A cancellation. */
        CANCELLED,
        /** A cancellation of a job that wasn't stored then. */
        EARLY_CANCELLATION,
        /** The progress of a job. */
        PROGRESS,
        /** The process that is the scheduler. */
        LEADER,
        /** A worker that may get runs. */
        WORKER,
        /** A key that this version doesn't recognise. */
        OTHER
    }

    /**
     * The process that is the scheduler.
     *
     * @param holder the name of its node, not null
     * @param epoch its fencing token
     * @param resigned whether it has resigned
     * @param settled whether no grant of an earlier scheduler can still be in force
     * @param candidacy the random identifier of the candidacy that elected it; 0 in records of
     *     versions that had none
     */
    public record Leader(
            String holder, long epoch, boolean resigned, boolean settled, long candidacy) {}

    /**
     * A cancellation of a job that wasn't stored then.
     *
     * @param job the job, not null
     * @param organisation the organisation that cancelled it, not null
     */
    public record EarlyCancellation(JobId job, OrganisationId organisation) {}

    private static final String ACCEPTED = "a:";
    private static final String CANCELLED = "c:";
    private static final String EARLY_CANCELLATION = "e:";
    private static final String PROGRESS = "p:";
    private static final String LEADER = "leader";
    private static final String WORKER = "w:";

    /** The value of a cancellation; an empty value would delete the key. */
    private static final byte[] PRESENT = {1};

    private static final ObjectMapper MAPPER =
            new ObjectMapper(new MessagePackFactory())
                    .registerModule(module())
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private JobRecords() {}

    /**
     * Makes the record of an accepted job.
     *
     * @param job the job, not null
     * @return the record, never null
     */
    public static StoredRecord accepted(TaskJob job) {
        return StoredRecord.of(ACCEPTED + job.id(), write(job));
    }

    /**
     * Makes the record of a cancellation.
     *
     * @param id the job, not null
     * @return the record, never null
     */
    public static StoredRecord cancelled(JobId id) {
        return StoredRecord.of(CANCELLED + id, PRESENT);
    }

    /**
     * Makes the record of a cancellation that came before its job.
     *
     * @param cancellation the cancellation, not null
     * @param number a random number
     * @return the record, never null
     */
    public static StoredRecord earlyCancellation(EarlyCancellation cancellation, long number) {
        String key = EARLY_CANCELLATION + cancellation.job() + ":" + Long.toHexString(number);
        return StoredRecord.of(key, write(cancellation));
    }

    /**
     * Makes the record of a job's progress.
     *
     * @param id the job, not null
     * @param progress the job's progress, not null
     * @return the record, never null
     */
    public static StoredRecord progress(JobId id, JobProgress progress) {
        return StoredRecord.of(PROGRESS + id, write(progress));
    }

    /**
     * Makes the record of the scheduler.
     *
     * @param leader the scheduler, not null
     * @return the record, never null
     */
    public static StoredRecord leader(Leader leader) {
        return StoredRecord.of(LEADER, write(leader));
    }

    /**
     * Makes the record of a worker that may get runs.
     *
     * @param info the worker, not null
     * @return the record, never null
     */
    public static StoredRecord worker(WorkerInfo info) {
        return StoredRecord.of(WORKER + info.id(), write(info));
    }

    /**
     * Makes the record that drops a worker.
     *
     * @param id the worker, not null
     * @return the record, never null
     */
    public static StoredRecord workerDropped(WorkerId id) {
        return StoredRecord.tombstone(WORKER + id);
    }

    /**
     * Makes the records that drop every record of a job.
     *
     * @param id the job, not null
     * @return the records, never null
     */
    public static List<StoredRecord> jobDropped(JobId id) {
        return List.of(
                StoredRecord.tombstone(ACCEPTED + id),
                StoredRecord.tombstone(CANCELLED + id),
                StoredRecord.tombstone(PROGRESS + id));
    }

    /**
     * Returns the kind of a record.
     *
     * @param record the record, not null
     * @return its kind, never null
     */
    public static Kind kindOf(StoredRecord record) {
        String key = record.key();
        if (key.startsWith(ACCEPTED)) {
            return Kind.ACCEPTED;
        } else if (key.startsWith(CANCELLED)) {
            return Kind.CANCELLED;
        } else if (key.startsWith(EARLY_CANCELLATION)) {
            return Kind.EARLY_CANCELLATION;
        } else if (key.startsWith(PROGRESS)) {
            return Kind.PROGRESS;
        } else if (key.startsWith(WORKER)) {
            return Kind.WORKER;
        }
        return key.equals(LEADER) ? Kind.LEADER : Kind.OTHER;
    }

    /**
     * Returns the identifier of the job that a record belongs to.
     *
     * @param record a record of a job, not null
     * @return the job's identifier, never null
     */
    public static JobId jobId(StoredRecord record) {
        return JobId.of(record.key().substring(record.key().indexOf(':') + 1));
    }

    /**
     * Returns the identifier of the worker that a record belongs to.
     *
     * @param record a record of a worker, not null
     * @return the worker's identifier, never null
     */
    public static WorkerId workerId(StoredRecord record) {
        return WorkerId.of(record.key().substring(WORKER.length()));
    }

    /**
     * Decodes the value of a record.
     *
     * @param <T> the type of the value
     * @param record the record, not null
     * @param type the type of the value, not null
     * @return the value, never null
     * @throws StoreException if the bytes can't be decoded to the type
     */
    public static <T> T read(StoredRecord record, Class<T> type) throws StoreException {
        try {
            return MAPPER.readValue(record.value(), type);
        } catch (IOException e) {
            throw new StoreException(
                    "record " + record.key() + " can't be decoded: " + e.getMessage());
        }
    }

    private static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "record value can't be encoded: " + value.getClass(), e);
        }
    }

    private static SimpleModule module() {
        SimpleModule module = new SimpleModule("node");
        add(module, JobId.class, JobId::of);
        add(module, OrganisationId.class, OrganisationId::of);
        add(module, WorkerId.class, WorkerId::of);
        add(module, DataCentreId.class, DataCentreId::of);
        add(module, Endpoint.class, Endpoint::parse);
        module.addSerializer(BitSet.class, new BitSetWriter());
        module.addDeserializer(BitSet.class, new BitSetReader());
        return module;
    }

    private static <T> void add(SimpleModule module, Class<T> type, Function<String, T> parser) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new TextReader<>(type, parser));
    }

    private static final class TextReader<T> extends FromStringDeserializer<T> {

        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parser;

        TextReader(Class<T> type, Function<String, T> parser) {
            super(type);
            this.parser = parser;
        }

        @Override
        protected T _deserialize(String value, DeserializationContext context) {
            return parser.apply(value);
        }
    }

    private static final class BitSetWriter extends StdSerializer<BitSet> {

        private static final long serialVersionUID = 1L;

        BitSetWriter() {
            super(BitSet.class);
        }

        @Override
        public void serialize(BitSet value, JsonGenerator out, SerializerProvider provider)
                throws IOException {
            out.writeBinary(value.toByteArray());
        }
    }

    private static final class BitSetReader extends StdDeserializer<BitSet> {

        private static final long serialVersionUID = 1L;

        BitSetReader() {
            super(BitSet.class);
        }

        @Override
        public BitSet deserialize(JsonParser in, DeserializationContext context)
                throws IOException {
            return BitSet.valueOf(in.getBinaryValue());
        }
    }
}
