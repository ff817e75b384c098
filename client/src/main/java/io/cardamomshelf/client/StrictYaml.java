package io.cardamomshelf.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads YAML files into records. Unknown and repeated keys are refused. Error messages name the
 * file, and the line and key where they are known.
 *
 * <p>Use: {@code StrictYaml.read(path, Settings.class)}.
 *
 * <p>Limits: a file of at most 16 MiB.
 *
 * <p>Stateless and thread-safe.
 */
public final class StrictYaml {

    private static final long MAX_FILE_BYTES = 16L << 20;
    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                            YAMLFactory.builder()
                                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                                    .build())
                    .registerModule(Json.module())
                    .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);

    private StrictYaml() {}

    /**
     * Reads a file.
     *
     * @param <T> the record's type
     * @param file the file, not null
     * @param type the record's type, not null
     * @return the record, never null
     * @throws FileException if the file can't be read or is invalid
     */
    public static <T> T read(Path file, Class<T> type) throws FileException {
        return parse(file, readText(file), type);
    }

    /**
     * Parses the text of a file.
     *
     * @param <T> the record's type
     * @param file the file that error messages name, not null
     * @param text the text, not null
     * @param type the record's type, not null
     * @return the record, never null
     * @throws FileException if the text is invalid
     */
    public static <T> T parse(Path file, String text, Class<T> type) throws FileException {
        YamlKeys keys = checkKeys(file, text, type);
        try {
            T value = MAPPER.readValue(text, type);
            if (value == null) {
                throw new FileException(file, 0, "", "holds nothing");
            }
            return value;
        } catch (JsonProcessingException e) {
            FormatException format = FormatException.of(e);
            String key = format.key();
            throw new FileException(file, keys.lineOf(key), key, format.reason());
        }
    }

    private static YamlKeys checkKeys(Path file, String text, Class<?> type) throws FileException {
        try {
            YamlKeys keys = YamlKeys.of(MAPPER.createParser(text));
            Optional<Map.Entry<String, List<String>>> unknown =
                    YamlKeys.findUnknown(MAPPER.readTree(text), type, "");
            if (unknown.isPresent()) {
                String key = unknown.get().getKey();
                String allowed = String.join(", ", unknown.get().getValue());
                throw new FileException(
                        file, keys.lineOf(key), key, "is unknown; allowed are " + allowed);
            }
            return keys;
        } catch (JsonProcessingException e) {
            FormatException format = FormatException.of(e);
            throw new FileException(file, format.line(), format.field(), format.getMessage());
        } catch (IOException e) {
            throw new FileException(file, 0, "", "can't be read: " + e.getClass().getSimpleName());
        }
    }

    private static String readText(Path file) throws FileException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new FileException(file, 0, "", "is larger than 16 MiB");
            }
            return Files.readString(file);
        } catch (IOException e) {
            throw new FileException(file, 0, "", "can't be read: " + e.getClass().getSimpleName());
        }
    }
}
