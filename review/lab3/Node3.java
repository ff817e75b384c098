import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** One process of the project, started with the command of the deploy file. */
final class Node3 {

    final String name;
    final int port;
    final int readyPort;
    private final Path settings;
    private final Path log;
    private Process process;

    private Node3(String name, int port, int readyPort, Path settings, Path log) {
        this.name = name;
        this.port = port;
        this.readyPort = readyPort;
        this.settings = settings;
        this.log = log;
    }

    /** Returns a free port of the loopback address. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    static Node3 start(Path folder, String name, String zone, int storePort) throws IOException {
        int port = freePort();
        int ready = freePort();
        int control = freePort();
        int metrics = freePort();
        Path settings = folder.resolve(name + ".conf");
        Files.write(
                settings,
                List.of(
                        "node_name=" + name,
                        "role=entry",
                        "machine_class=frontend",
                        "serves=frontend",
                        "ip=127.0.0.1",
                        "zone=" + zone,
                        "region=gauteng",
                        "zones.jhb-a=gauteng",
                        "zones.cpt-a=wcape",
                        "zones.pta-b=gauteng",
                        "listen.frontend=127.0.0.1:" + port,
                        "listen.ready_address=127.0.0.1:" + ready,
                        "listen.control=127.0.0.1:" + control,
                        "internal_ports=" + metrics + "," + metrics,
                        "seeds=",
                        "bootstrap=true",
                        "limits.cpu_share=0.75",
                        "limits.cores=1",
                        "limits.memory_mb=430",
                        "limits.max_fds=4100",
                        "discovery=platform",
                        "heartbeat_ms=1500",
                        "bounds.contact_ms=4000",
                        "bounds.ack_ms=5000",
                        "bounds.drain_ms=3000",
                        "bounds.grace_s=6",
                        "bounds.revoke_ms=5000",
                        "bounds.max_hold_ms=10000",
                        "bounds.stop_timeout_ms=900",
                        "bounds.cancel_ms=3000",
                        "bounds.visible_ms=3000",
                        "bounds.finish_s=14",
                        "bounds.status_s=120",
                        "control_mode=invocation",
                        "hint=",
                        "platform.address=127.0.0.1:" + storePort,
                        "platform.form=log",
                        "platform.record_bytes=262144",
                        "platform.call_bytes=2097152"));
        Node3 node = new Node3(name, port, ready, settings, folder.resolve(name + ".log"));
        node.launch();
        return node;
    }

    /** Starts the process, also again after it was killed. */
    void launch() throws IOException {
        String run =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(line -> line.startsWith("run = "))
                        .findFirst()
                        .orElseThrow()
                        .replaceAll("^run = \"(.*)\"$", "$1");
        ProcessBuilder builder = new ProcessBuilder(new ArrayList<>(List.of(run.split(" "))));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("CARDAMOMSHELF_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(log.toString())));
        process = builder.start();
    }

    boolean isReady() {
        return Http3.call(readyPort, "GET", "/ready", Map.of(), "", 500).status() == 200;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    long pid() {
        return process.pid();
    }

    /** Returns whether its log has a line with this event. */
    boolean logged(String event) throws IOException {
        return Files.exists(log) && Files.readString(log).contains(event);
    }

    List<String> log() throws IOException {
        return Files.readAllLines(log);
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
    }

    void end() {
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
