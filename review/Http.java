package lab;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Helpers for the stand-ins' HTTP servers. */
final class Http {

    private Http() {}

    static void answer(HttpExchange exchange, int status, String json) throws IOException {
        exchange.getResponseHeaders().add("Content-Type", "application/json");
        answer(exchange, status, json.getBytes(StandardCharsets.UTF_8));
    }

    static void answer(HttpExchange exchange, int status, byte[] body) throws IOException {
        exchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(body);
        }
    }

    static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> result = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String part : raw.split("&")) {
                int separator = part.indexOf('=');
                result.put(
                        part.substring(0, separator),
                        URLDecoder.decode(part.substring(separator + 1), StandardCharsets.UTF_8));
            }
        }
        return result;
    }
}
