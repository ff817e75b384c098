import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, longs, doubles and booleans. */
final class JsonText {

    private final String text;
    private int position;

    private JsonText(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        JsonText reader = new JsonText(text);
        Object value = reader.value();
        reader.skipSpace();
        if (reader.position != text.length()) {
            throw new IllegalArgumentException("text after the value: " + text);
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> parseObject(String text) {
        return (Map<String, Object>) parse(text);
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        append(out, value);
        return out.toString();
    }

    /** Makes an object of alternating names and values, in this order. */
    static Map<String, Object> object(Object... namesAndValues) {
        Map<String, Object> object = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            object.put((String) namesAndValues[i], namesAndValues[i + 1]);
        }
        return object;
    }

    private static void append(StringBuilder out, Object value) {
        if (value instanceof Map<?, ?> object) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : object.entrySet()) {
                out.append(separator);
                append(out, entry.getKey().toString());
                out.append(':');
                append(out, entry.getValue());
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                append(out, element);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(position);
        if (c == '{') {
            return object();
        } else if (c == '[') {
            return list();
        } else if (c == '"') {
            return string();
        }
        int start = position;
        while (position < text.length() && ",]} \n\r\t".indexOf(text.charAt(position)) < 0) {
            position++;
        }
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> {
                if (word.matches("-?\\d+")) {
                    yield Long.parseLong(word);
                }
                yield Double.parseDouble(word);
            }
        };
    }

    private Map<String, Object> object() {
        Map<String, Object> object = new LinkedHashMap<>();
        position++;
        for (skipSpace(); text.charAt(position) != '}'; skipSpace()) {
            String name = string();
            skipSpace();
            position++;
            object.put(name, value());
            skipSpace();
            if (text.charAt(position) == ',') {
                position++;
            }
        }
        position++;
        return object;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        position++;
        for (skipSpace(); text.charAt(position) != ']'; skipSpace()) {
            list.add(value());
            skipSpace();
            if (text.charAt(position) == ',') {
                position++;
            }
        }
        position++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        skipSpace();
        position++;
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> out.append(escaped);
            }
        }
        position++;
        return out.toString();
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
            position++;
        }
    }
}
