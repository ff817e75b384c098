package io.cardamomshelf.client;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Where the keys of a YAML text stand, and which of them a record doesn't know.
 *
 * <p>Not thread-safe.
 */
final class YamlKeys {

    private final Map<String, Integer> lines = new HashMap<>();

    private YamlKeys() {}

    static YamlKeys of(JsonParser parser) throws IOException {
        YamlKeys keys = new YamlKeys();
        while (parser.nextToken() != null) {
            if (parser.currentToken() == JsonToken.FIELD_NAME) {
                int line = parser.currentTokenLocation().getLineNr();
                keys.lines.putIfAbsent(path(parser), line);
            }
        }
        return keys;
    }

    /** Returns the line of a key, or of the nearest key around it; 0 if there is none. */
    int line(String key) {
        String nearest = key;
        while (!nearest.isEmpty() && !lines.containsKey(nearest)) {
            nearest = nearest.substring(0, Math.max(0, nearest.lastIndexOf('.')));
        }
        return lines.getOrDefault(nearest, 0);
    }

    /** Returns the path of the first key that a type doesn't know, with what it knows instead. */
    static Optional<Map.Entry<String, List<String>>> unknown(
            JsonNode node, Type type, String prefix) {
        if (type instanceof ParameterizedType generic) {
            Type[] arguments = generic.getActualTypeArguments();
            return unknownInside(node, arguments[arguments.length - 1], prefix);
        }
        if (!(type instanceof Class<?> record) || !record.isRecord() || !node.isObject()) {
            return Optional.empty();
        }
        List<String> known =
                Arrays.stream(record.getRecordComponents()).map(RecordComponent::getName).toList();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                return Optional.of(Map.entry(prefix + name, known));
            }
        }
        return Arrays.stream(record.getRecordComponents())
                .filter(component -> node.has(component.getName()))
                .flatMap(
                        component ->
                                unknown(
                                        node.get(component.getName()),
                                        component.getGenericType(),
                                        prefix + component.getName() + ".")
                                        .stream())
                .findFirst();
    }

    private static Optional<Map.Entry<String, List<String>>> unknownInside(
            JsonNode node, Type element, String prefix) {
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> entry : node.properties()) {
                Optional<Map.Entry<String, List<String>>> found =
                        unknown(entry.getValue(), element, prefix + entry.getKey() + ".");
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        for (int index = 0; node.isArray() && index < node.size(); index++) {
            Optional<Map.Entry<String, List<String>>> found =
                    unknown(node.get(index), element, prefix + index + ".");
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private static String path(JsonParser parser) {
        List<String> steps = new ArrayList<>();
        for (var at = parser.getParsingContext(); at != null; at = at.getParent()) {
            if (at.inObject() && at.getCurrentName() != null) {
                steps.add(0, at.getCurrentName());
            } else if (at.inArray()) {
                steps.add(0, "" + at.getCurrentIndex());
            }
        }
        return String.join(".", steps);
    }
}
