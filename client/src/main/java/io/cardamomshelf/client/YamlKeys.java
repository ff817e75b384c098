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
 * The lines of the keys of a YAML text, for error messages, and a search for keys that aren't
 * components of a record. Paths of keys are joined with dots. {@link StrictYaml} uses it.
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
                keys.lines.putIfAbsent(currentPath(parser), line);
            }
        }
        return keys;
    }

    /** Returns the line of a key, or of its nearest enclosing key; 0 if there is none. */
    int lineOf(String key) {
        String nearest = key;
        while (!nearest.isEmpty() && !lines.containsKey(nearest)) {
            nearest = nearest.substring(0, Math.max(0, nearest.lastIndexOf('.')));
        }
        return lines.getOrDefault(nearest, 0);
    }

    /** Returns the path of the first key that a type doesn't have, and the keys allowed there. */
    static Optional<Map.Entry<String, List<String>>> findUnknown(
            JsonNode node, Type type, String prefix) {
        if (type instanceof ParameterizedType generic) {
            Type[] arguments = generic.getActualTypeArguments();
            return findUnknownInElements(node, arguments[arguments.length - 1], prefix);
        }
        if (!(type instanceof Class<?> record) || !record.isRecord() || !node.isObject()) {
            return Optional.empty();
        }
        List<String> allowed =
                Arrays.stream(record.getRecordComponents()).map(RecordComponent::getName).toList();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!allowed.contains(name)) {
                return Optional.of(Map.entry(prefix + name, allowed));
            }
        }
        return Arrays.stream(record.getRecordComponents())
                .filter(component -> node.has(component.getName()))
                .flatMap(
                        component ->
                                findUnknown(
                                        node.get(component.getName()),
                                        component.getGenericType(),
                                        prefix + component.getName() + ".")
                                        .stream())
                .findFirst();
    }

    private static Optional<Map.Entry<String, List<String>>> findUnknownInElements(
            JsonNode node, Type element, String prefix) {
        if (node.isObject()) {
            for (Map.Entry<String, JsonNode> entry : node.properties()) {
                Optional<Map.Entry<String, List<String>>> found =
                        findUnknown(entry.getValue(), element, prefix + entry.getKey() + ".");
                if (found.isPresent()) {
                    return found;
                }
            }
        }
        for (int index = 0; node.isArray() && index < node.size(); index++) {
            Optional<Map.Entry<String, List<String>>> found =
                    findUnknown(node.get(index), element, prefix + index + ".");
            if (found.isPresent()) {
                return found;
            }
        }
        return Optional.empty();
    }

    private static String currentPath(JsonParser parser) {
        List<String> names = new ArrayList<>();
        for (var context = parser.getParsingContext();
                context != null;
                context = context.getParent()) {
            if (context.inObject() && context.getCurrentName() != null) {
                names.add(0, context.getCurrentName());
            } else if (context.inArray()) {
                names.add(0, "" + context.getCurrentIndex());
            }
        }
        return String.join(".", names);
    }
}
