import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads JSON into maps, lists, strings, numbers and booleans, and writes them. */
final class Json3 {

    private final String text;
    private int at;

    private Json3(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json3(text).value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    static long number(Map<String, Object> map, String name, long otherwise) {
        return map.get(name) instanceof Number n ? n.longValue() : otherwise;
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    static String write(Object value) {
        if (value instanceof Map<?, ?> map) {
            StringBuilder out = new StringBuilder("{");
            map.forEach(
                    (key, item) ->
                            out.append(out.length() > 1 ? "," : "")
                                    .append(write(key.toString()))
                                    .append(":")
                                    .append(write(item)));
            return out.append("}").toString();
        }
        if (value instanceof List<?> list) {
            StringBuilder out = new StringBuilder("[");
            list.forEach(item -> out.append(out.length() > 1 ? "," : "").append(write(item)));
            return out.append("]").toString();
        }
        if (value instanceof String string) {
            StringBuilder out = new StringBuilder("\"");
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < 32) {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            return out.append('"').toString();
        }
        return String.valueOf(value);
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') {
            Map<String, Object> map = new LinkedHashMap<>();
            at++;
            for (skip(); text.charAt(at) != '}'; skip()) {
                String key = (String) value();
                skip();
                at++;
                map.put(key, value());
                skip();
                if (text.charAt(at) == ',') {
                    at++;
                }
            }
            at++;
            return map;
        }
        if (c == '[') {
            List<Object> list = new ArrayList<>();
            at++;
            for (skip(); text.charAt(at) != ']'; skip()) {
                list.add(value());
                skip();
                if (text.charAt(at) == ',') {
                    at++;
                }
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int from = at;
        while (at < text.length() && "+-.eE0123456789truefalsn".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String word = text.substring(from, at);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        for (at++; text.charAt(at) != '"'; at++) {
            char c = text.charAt(at);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            c = text.charAt(++at);
            switch (c) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at + 1, at + 5), 16));
                    at += 4;
                }
                default -> out.append(c);
            }
        }
        at++;
        return out.toString();
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
            at++;
        }
    }
}
