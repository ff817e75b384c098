package io.cardamomshelf.sessions;

import io.cardamomshelf.platform.PlatformMain;
import io.cardamomshelf.standin.platform.PlatformStandinMain;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment on the users' platform: its stand-ins and some machines of the service, all as
 * separate processes on loopback.
 *
 * <p>Use: {@code try (PlatformDeployment d = PlatformDeployment.start(folder, 4)) { d.node("n1");
 * }}.
 *
 * <p>Not thread-safe.
 */
public final class PlatformDeployment implements AutoCloseable {

    /** The key of the one organisation's callers. */
    public static final String KEY = "key-of-the-session";

    private static final String HOST = "127.0.0.1";
    private static final String PREFIX = "/jobs/";
    private static final Pattern NUMBER = Pattern.compile("\"(\\w+)\":(\\d+)");

    private record Machine(ChildProcess process, int callersPort, int readyPort) {}

    private final Path folder;
    private final Http http = new Http();
    private final Map<String, Machine> machines = new LinkedHashMap<>();
    private ChildProcess standins;

    private PlatformDeployment(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts the platform's stand-ins.
     *
     * @param folder where settings and logs go, not null
     * @param workers the number of workers
     * @return the deployment, never null
     * @throws SessionException if they can't start
     */
    public static PlatformDeployment start(Path folder, int workers) throws SessionException {
        PlatformDeployment deployment = new PlatformDeployment(folder);
        deployment.standins =
                ChildProcess.start(
                        folder.resolve("standins.err"),
                        PlatformStandinMain.class,
                        String.valueOf(workers));
        return deployment;
    }

    /**
     * Starts a machine of the service, or starts it again with the same addresses.
     *
     * @param name its name, not null
     * @throws SessionException if it can't start
     */
    public void node(String name) throws SessionException {
        Machine before = machines.get(name);
        int callers = before == null ? freePort() : before.callersPort();
        int ready = before == null ? freePort() : before.readyPort();
        Path settings = folder.resolve(name + ".conf");
        write(settings, settings(name, callers, ready));
        ChildProcess child =
                ChildProcess.startLogging(
                        log(name),
                        folder.resolve(name + ".err"),
                        "SERVICE_STARTED",
                        PlatformMain.class,
                        "--settings",
                        settings.toString());
        machines.put(name, new Machine(child, callers, ready));
    }

    /**
     * Publishes a configuration with one queue and one organisation.
     *
     * @param version its number
     * @param key the key of the organisation's callers, not null
     * @throws SessionException if the store doesn't answer
     */
    public void configure(int version, String key) throws SessionException {
        String body =
                """
                {"version":%d,"routes":[{"name":"q","host":"127.0.0.1","path_prefix":"%s",
                "type":"non_idempotent","timeout_ms":3000,"target_duration_ms":600,"priority":0,
                "service":"rota","max_attempts":3,"slack_factor":1.5,"public":false}],
                "services":[{"name":"rota"}],"limits":{"max_body_bytes":262144},
                "tenants":[{"name":"circle","api_keys":["%s"],"guaranteed":{"gpus":8}}]}"""
                        .formatted(version, PREFIX, key);
        http.send("PUT", store() + "/operator/config", body);
    }

    /**
     * Switches a trouble of the store on or off.
     *
     * @param trouble its name, not null
     * @throws SessionException if the store doesn't answer
     */
    public void trouble(String trouble) throws SessionException {
        http.send("PUT", store() + "/switch/" + trouble, "");
    }

    /**
     * Calls a machine as a caller.
     *
     * @param machine its name, not null
     * @param method the method, not null
     * @param job the job's identifier, or empty, not null
     * @param body the body, null for none
     * @return the answer, never null
     * @throws SessionException if there is none
     */
    public Deployment.Reply call(String machine, String method, String job, String body)
            throws SessionException {
        return call(machine, method, PREFIX + job, body, KEY);
    }

    /**
     * Calls a machine with a path and a key.
     *
     * @param machine its name, not null
     * @param method the method, not null
     * @param path the path, not null
     * @param body the body, null for none
     * @param key the key, not null
     * @return the answer, never null
     * @throws SessionException if there is none
     */
    public Deployment.Reply call(
            String machine, String method, String path, String body, String key)
            throws SessionException {
        String url = HOST + ":" + machines.get(machine).callersPort() + path;
        return http.send(method, url, body, "Api-Key", key);
    }

    /**
     * Replaces a machine's settings file by other text, as the platform does while it runs.
     *
     * @param machine its name, not null
     * @param text the text, not null
     * @throws SessionException if it can't be written
     */
    public void rewriteSettings(String machine, String text) throws SessionException {
        write(folder.resolve(machine + ".conf"), text);
    }

    /**
     * Asks whether a machine says that it is ready.
     *
     * @param machine its name, not null
     * @return true if it does
     * @throws SessionException if it doesn't answer
     */
    public boolean isReady(String machine) throws SessionException {
        String url = HOST + ":" + machines.get(machine).readyPort() + "/ready";
        return http.send("GET", url, null).status() == 200;
    }

    /**
     * Returns a machine's process.
     *
     * @param machine its name, not null
     * @return the process, never null
     */
    public ChildProcess process(String machine) {
        return machines.get(machine).process();
    }

    /**
     * Finds the machine that was elected last.
     *
     * @return its name, empty if none was
     * @throws SessionException if a log can't be read
     */
    public Optional<String> leader() throws SessionException {
        String best = null;
        long bestEpoch = 0;
        Pattern won = Pattern.compile("LEADERSHIP_WON.*\"epoch\":(\\d+)");
        for (String name : machines.keySet()) {
            Matcher matcher = won.matcher(logText(name));
            while (matcher.find()) {
                long epoch = Long.parseLong(matcher.group(1));
                if (epoch > bestEpoch) {
                    bestEpoch = epoch;
                    best = name;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Returns what a machine has logged.
     *
     * @param machine its name, not null
     * @return the lines, never null
     * @throws SessionException if they can't be read
     */
    public String logText(String machine) throws SessionException {
        try {
            return Files.readString(log(machine));
        } catch (IOException e) {
            throw new SessionException("no log of " + machine + ": " + e);
        }
    }

    /**
     * Counts starts of tasks, or those beside another run of the same task.
     *
     * @param what {@code starts} or {@code overlaps}, not null
     * @return the number
     * @throws SessionException if the stand-ins don't answer
     */
    public int count(String what) throws SessionException {
        Matcher matcher =
                NUMBER.matcher(http.send("GET", HOST + ":" + port("counts"), null).body());
        while (matcher.find()) {
            if (matcher.group(1).equals(what)) {
                return Integer.parseInt(matcher.group(2));
            }
        }
        throw new SessionException("no such count: " + what);
    }

    @Override
    public void close() {
        machines.values().forEach(machine -> machine.process().kill());
        standins.kill();
    }

    private int port(String name) {
        return standins.port(name);
    }

    private String store() {
        return HOST + ":" + port("store");
    }

    private Path log(String name) {
        return folder.resolve(name + ".log");
    }

    private String settings(String name, int callers, int ready) throws SessionException {
        return String.join(
                System.lineSeparator(),
                List.of(
                        "node_name=" + name,
                        "zone=dc-1",
                        "ip=" + HOST,
                        "listen.frontend=" + HOST + ":" + callers,
                        "listen.ready_address=" + HOST + ":" + ready,
                        "internal_ports=" + freePort() + ",0",
                        "bounds.revoke_ms=5000",
                        "bounds.visible_ms=3000",
                        "bounds.grace_s=6",
                        "bounds.max_hold_ms=10000",
                        "bounds.status_s=120",
                        "platform.address=" + store()));
    }

    private static void write(Path file, String text) throws SessionException {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new SessionException("can't write " + file + ": " + e);
        }
    }

    private static int freePort() throws SessionException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new SessionException("no free port: " + e);
        }
    }
}
