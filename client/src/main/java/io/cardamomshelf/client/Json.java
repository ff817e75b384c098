package io.cardamomshelf.client;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.base.JobId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.job.JobRecord;
import java.util.function.Function;

/**
 * Converts the core's values to JSON text and back, with identifiers as plain strings.
 *
 * <p>Use: {@code Json.write(record)} and {@code Json.read(text, JobRecord.class)}.
 *
 * <p>Stateless and thread-safe.
 */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(module());

    static {
        MAPPER.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        MAPPER.enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
        MAPPER.addMixIn(JobRecord.class, JobRecordTypes.class);
    }

    private Json() {}

    /** Annotates {@link JobRecord} with the names of its kinds in JSON. */
    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    @JsonSubTypes({
        @JsonSubTypes.Type(value = JobRecord.Accepted.class, name = "accepted"),
        @JsonSubTypes.Type(value = JobRecord.Claimed.class, name = "claimed"),
        @JsonSubTypes.Type(value = JobRecord.Checkpointed.class, name = "checkpointed"),
        @JsonSubTypes.Type(value = JobRecord.Cancelled.class, name = "cancelled"),
        @JsonSubTypes.Type(value = JobRecord.Ended.class, name = "ended")
    })
    private interface JobRecordTypes {}

    /** Parses a value from its string form. */
    private static final class StringParsingDeserializer<T> extends FromStringDeserializer<T> {

        private static final long serialVersionUID = 1L;

        private final transient Function<String, T> parser;

        StringParsingDeserializer(Class<T> type, Function<String, T> parser) {
            super(type);
            this.parser = parser;
        }

        @Override
        protected T _deserialize(String value, DeserializationContext context) {
            return parser.apply(value);
        }

        @Override
        protected Object _deserializeFromEmptyString(DeserializationContext context) {
            return parser.apply("");
        }
    }

    /**
     * Returns a new module that maps the core's identifiers to plain strings, for other mappers.
     *
     * @return the module, never null
     */
    public static SimpleModule module() {
        SimpleModule module = new SimpleModule("cardamomshelf");
        addStringForm(module, OrganisationId.class, OrganisationId::of);
        addStringForm(module, DataCentreId.class, DataCentreId::of);
        addStringForm(module, WorkerId.class, WorkerId::of);
        addStringForm(module, JobId.class, JobId::of);
        addStringForm(module, InstanceId.class, InstanceId::of);
        addStringForm(module, EntryKey.class, EntryKey::parse);
        return module;
    }

    /**
     * Writes a value.
     *
     * @param value the value, not null
     * @return its JSON text, never null
     */
    public static String write(Object value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write as JSON: " + value.getClass(), e);
        }
    }

    /**
     * Reads a value.
     *
     * @param <T> the value's type
     * @param text the JSON text, not null
     * @param type the value's type, not null
     * @return the value, never null
     * @throws FormatException if the text isn't a valid value of the type; names the field
     */
    public static <T> T read(String text, Class<T> type) throws FormatException {
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new FormatException("", "null is no " + type.getSimpleName());
            }
            return value;
        } catch (JsonProcessingException e) {
            throw FormatException.of(e);
        }
    }

    static ObjectMapper mapper() {
        return MAPPER;
    }

    private static <T> void addStringForm(
            SimpleModule module, Class<T> type, Function<String, T> parser) {
        module.addSerializer(type, ToStringSerializer.instance);
        module.addDeserializer(type, new StringParsingDeserializer<>(type, parser));
        module.addKeyDeserializer(
                type,
                new KeyDeserializer() {
                    @Override
                    public Object deserializeKey(String key, DeserializationContext context) {
                        return parser.apply(key);
                    }
                });
    }
}
