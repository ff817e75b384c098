package lab;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays lists, numbers longs or doubles. */
public final class Json {

    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    /** Parses one value. */
    public static Object parse(String text) {
        Json json = new Json(text);
        return json.value();
    }

    /** Parses an object. */
    @SuppressWarnings("unchecked")
    public static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns a whole number of an object, or a default. */
    public static long number(Map<String, Object> object, String key, long otherwise) {
        Object value = object.get(key);
        return value instanceof Number ? ((Number) value).longValue() : otherwise;
    }

    /** Writes a value. */
    public static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : ((Map<?, ?>) value).entrySet()) {
                out.append(separator);
                write(entry.getKey().toString(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List) {
            out.append('[');
            String separator = "";
            for (Object element : (List<?>) value) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String) {
            out.append('"');
            for (char c : ((String) value).toCharArray()) {
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
        char c = text.charAt(at);
        if (c == '{') {
            return objectValue();
        } else if (c == '[') {
            return listValue();
        } else if (c == '"') {
            return stringValue();
        }
        int start = at;
        while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(start, at);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        }
    }

    private Map<String, Object> objectValue() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        skipSpace();
        while (text.charAt(at) != '}') {
            skipSpace();
            String key = stringValue();
            skipSpace();
            at++;
            result.put(key, value());
            skipSpace();
            if (text.charAt(at) == ',') {
                at++;
                skipSpace();
            }
        }
        at++;
        return result;
    }

    private List<Object> listValue() {
        List<Object> result = new ArrayList<>();
        at++;
        skipSpace();
        while (text.charAt(at) != ']') {
            result.add(value());
            skipSpace();
            if (text.charAt(at) == ',') {
                at++;
                skipSpace();
            }
        }
        at++;
        return result;
    }

    private String stringValue() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n':
                    out.append('\n');
                    break;
                case 't':
                    out.append('\t');
                    break;
                case 'r':
                    out.append('\r');
                    break;
                case 'u':
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default:
                    out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private void skipSpace() {
        while (at < text.length() && text.charAt(at) <= ' ') {
            at++;
        }
    }
}
