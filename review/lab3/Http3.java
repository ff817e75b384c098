import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server with a thread for each connection, and a client. Loopback only. */
final class Http3 {

    /** A request as the server received it. */
    record Request(String method, String path, Map<String, String> query, byte[] body) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        String parameter(String name, String otherwise) {
            return query.getOrDefault(name, otherwise);
        }
    }

    /** An answer; a null answer leaves the call unanswered and its connection silent. */
    record Response(int status, byte[] body) {
        static Response of(int status, String text) {
            return new Response(status, text.getBytes(StandardCharsets.UTF_8));
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        Response handle(Request request) throws Exception;
    }

    private Http3() {}

    /** Starts a server on a free port of 127.0.0.1 and returns the port. */
    static int serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        daemon(
                () -> {
                    while (true) {
                        Socket socket = server.accept();
                        daemon(() -> serveConnection(socket, handler));
                    }
                });
        return server.getLocalPort();
    }

    /** Runs a task on a daemon thread; an I/O failure ends it. */
    static void daemon(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | InterruptedException e) {
                                // The connection has ended.
                            } catch (Exception e) {
                                e.printStackTrace();
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    interface Task {
        void run() throws Exception;
    }

    private static void serveConnection(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = socket.getInputStream();
            OutputStream out = socket.getOutputStream();
            while (true) {
                Request request = readRequest(in);
                if (request == null) {
                    return;
                }
                Response response = handler.handle(request);
                if (response == null) {
                    // Nothing more is returned on this connection; it ends with its peer.
                    while (in.read() >= 0) {}
                    return;
                }
                String head =
                        "HTTP/1.1 "
                                + response.status()
                                + " x\r\nContent-Type: application/json\r\nContent-Length: "
                                + response.body().length
                                + "\r\n\r\n";
                ByteArrayOutputStream whole = new ByteArrayOutputStream();
                whole.write(head.getBytes(StandardCharsets.ISO_8859_1));
                whole.write(response.body());
                out.write(whole.toByteArray());
                out.flush();
            }
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] words = line.split(" ");
        int length = 0;
        boolean chunked = false;
        for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
            String lower = header.toLowerCase(Locale.ROOT);
            if (lower.startsWith("content-length:")) {
                length = Integer.parseInt(lower.substring(15).trim());
            } else if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) {
                chunked = true;
            }
        }
        byte[] body = chunked ? readChunks(in) : in.readNBytes(length);
        String[] target = words[1].split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length == 2) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], parts.length == 2 ? java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8) : "");
            }
        }
        return new Request(words[0], target[0], query, body);
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
            body.write(in.readNBytes(size));
            readLine(in);
            if (size == 0) {
                return body.toByteArray();
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Makes one call on a connection of its own; status 0 if there is no answer in time. */
    static Response call(int port, String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            Map<String, String> all = new LinkedHashMap<>(headers);
            all.putIfAbsent("Host", "jobs.example");
            all.put("Connection", "close");
            if (bytes.length > 0 || method.equals("POST")) {
                all.put("Content-Type", "application/json");
                all.put("Content-Length", String.valueOf(bytes.length));
            }
            all.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            whole.write(bytes);
            socket.getOutputStream().write(whole.toByteArray());
            InputStream in = socket.getInputStream();
            String status = readLine(in);
            if (status == null) {
                return Response.of(0, "connection ended");
            }
            int length = -1;
            boolean chunked = false;
            for (String header = readLine(in); header != null && !header.isEmpty(); header = readLine(in)) {
                String lower = header.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(lower.substring(15).trim());
                } else if (lower.startsWith("transfer-encoding:") && lower.contains("chunked")) {
                    chunked = true;
                }
            }
            byte[] answer = chunked ? readChunks(in) : length >= 0 ? in.readNBytes(length) : in.readAllBytes();
            return new Response(Integer.parseInt(status.split(" ")[1]), answer);
        } catch (IOException e) {
            return Response.of(0, e.toString());
        }
    }
}
