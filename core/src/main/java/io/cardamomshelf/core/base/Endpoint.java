package io.cardamomshelf.core.base;

/**
 * The address of a network service: an IP address and a port.
 *
 * <p>Use: {@code Endpoint.parse("127.0.0.1:8080")}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the IP address, not null
 * @param port the port, 0 to 65,535; with 0 the system chooses the port to listen on
 */
public record Endpoint(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Creates an endpoint.
     *
     * @throws IllegalArgumentException if the host is missing or the port is out of range
     */
    public Endpoint {
        Checks.notNull("host", host);
        Checks.range("port", port, 0, MAX_PORT);
    }

    /**
     * Parses an endpoint of the form {@code host:port}.
     *
     * @param text the text, not null
     * @return the endpoint, never null
     * @throws IllegalArgumentException if the text has another form
     */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            if (colon > 0) {
                return new Endpoint(
                        text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (NumberFormatException e) {
            throw invalid(text);
        }
        throw invalid(text);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }

    private static IllegalArgumentException invalid(String text) {
        return new IllegalArgumentException(
                "endpoint: '"
                        + text
                        + "' is not an endpoint; expected IP:PORT, such as 127.0.0.1:8080");
    }
}
