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
 * A small deployment on the users' platform: the platform's stand-ins and some instances of the
 * service, all as separate processes on loopback.
 *
 * <p>Use: {@code try (PlatformDeployment d = PlatformDeployment.start(folder, 4)) {
 * d.startInstance("n1"); }}.
 *
 * <p>Not thread-safe.
 */
public final class PlatformDeployment implements AutoCloseable {

    /** The API key of the callers of the only organisation. */
    public static final String KEY = "key-of-the-session";

    private static final String HOST = "127.0.0.1";
    private static final String PREFIX = "/jobs/";
    private static final Pattern NUMBER_FIELD = Pattern.compile("\"(\\w+)\":(\\d+)");

    private record ServiceInstance(ChildProcess process, Ports ports) {}

    /**
     * The ports of an instance.
     *
     * @param callers the port for callers
     * @param ready the port for the readiness check
     * @param metrics the port that exports metrics
     */
    public record Ports(int callers, int ready, int metrics) {

        private static Ports free() throws SessionException {
            return new Ports(freePort(), freePort(), freePort());
        }
    }

    private final Path folder;
    private final Http http = new Http();
    private final Map<String, ServiceInstance> instances = new LinkedHashMap<>();
    private ChildProcess standins;

    private PlatformDeployment(Path folder) {
        this.folder = folder;
    }

    /**
     * Starts the platform's stand-ins.
     *
     * @param folder the folder for settings and logs, not null
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
     * Starts an instance of the service, or restarts it with the same addresses.
     *
     * @param name its name, not null
     * @throws SessionException if it can't start
     */
    public void startInstance(String name) throws SessionException {
        startInstance(name, List.of(), List.of());
    }

    /**
     * Starts an instance of the service with further options, or restarts it with the same
     * addresses.
     *
     * @param name its name, not null
     * @param options further options of its virtual machine, not null
     * @param furtherSettings further lines of its settings file, not null
     * @throws SessionException if it can't start
     */
    public void startInstance(String name, List<String> options, List<String> furtherSettings)
            throws SessionException {
        ServiceInstance previous = instances.get(name);
        Ports ports = previous == null ? Ports.free() : previous.ports();
        Path settings = folder.resolve(name + ".conf");
        write(
                settings,
                settings(name, ports)
                        + System.lineSeparator()
                        + String.join(System.lineSeparator(), furtherSettings));
        ChildProcess child =
                ChildProcess.startLogging(
                        logFile(name),
                        folder.resolve(name + ".err"),
                        "SERVICE_STARTED",
                        options,
                        PlatformMain.class,
                        "--settings",
                        settings.toString());
        instances.put(name, new ServiceInstance(child, ports));
    }

    /**
     * Makes a training run of the service, as the build does, and waits until it has ended.
     *
     * @param name the name of the instance, not null
     * @return what it wrote to standard error, never null
     * @throws SessionException if it can't start or doesn't end with 0
     */
    public String rehearse(String name) throws SessionException {
        Path settings = folder.resolve(name + ".conf");
        Path errors = folder.resolve(name + ".err");
        write(
                settings,
                settings(name, Ports.free()).replace(storeAddress(), HOST + ":" + freePort()));
        int code =
                ChildProcess.startLogging(
                                logFile(name),
                                errors,
                                "SERVICE_STARTED",
                                List.of(),
                                PlatformMain.class,
                                "--settings",
                                settings.toString(),
                                "--rehearse")
                        .awaitEnd();
        if (code != 0) {
            throw new SessionException("the training run ended with " + code + ", see " + errors);
        }
        return read(errors);
    }

    /**
     * Publishes a configuration with one queue and one organisation.
     *
     * @param version the version of the configuration
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
        http.send("PUT", storeAddress() + "/operator/config", body);
    }

    /**
     * Sets the fault that the store simulates.
     *
     * @param fault the fault's name, {@code none} to end it, not null
     * @throws SessionException if the store doesn't answer
     */
    public void setStoreFault(String fault) throws SessionException {
        http.send("PUT", storeAddress() + "/switch/" + fault, "");
    }

    /**
     * Changes a worker.
     *
     * @param worker its identifier, {@code i-0} for the first one, not null
     * @param change {@code restart}, which keeps the identifier, {@code unhealthy} or {@code
     *     healthy}, not null
     * @throws SessionException if the stand-ins don't answer
     */
    public void changeWorker(String worker, String change) throws SessionException {
        http.send("PUT", HOST + ":" + standinPort("counts") + "/" + change + "/" + worker, "");
    }

    /**
     * Sends a request for a job to an instance, with the key of its organisation.
     *
     * @param instance its name, not null
     * @param method the method, not null
     * @param job the job's identifier, or empty, not null
     * @param body the body, null for none
     * @return the answer, never null
     * @throws SessionException if there is no answer
     */
    public Deployment.Reply call(String instance, String method, String job, String body)
            throws SessionException {
        return call(instance, method, PREFIX + job, body, KEY);
    }

    /**
     * Sends a request to an instance, with any path and key.
     *
     * @param instance its name, not null
     * @param method the method, not null
     * @param path the path, not null
     * @param body the body, null for none
     * @param key the key, not null
     * @return the answer, never null
     * @throws SessionException if there is no answer
     */
    public Deployment.Reply call(
            String instance, String method, String path, String body, String key)
            throws SessionException {
        String url = HOST + ":" + ports(instance).callers() + path;
        return http.send(method, url, body, "Api-Key", key);
    }

    /**
     * Replaces the settings file of an instance, as the platform does while the instance runs.
     *
     * @param instance its name, not null
     * @param text the new content, not null
     * @throws SessionException if it can't be written
     */
    public void rewriteSettings(String instance, String text) throws SessionException {
        write(folder.resolve(instance + ".conf"), text);
    }

    /**
     * Checks whether an instance reports that it is ready.
     *
     * @param instance its name, not null
     * @return true if it is ready
     * @throws SessionException if it doesn't answer
     */
    public boolean isReady(String instance) throws SessionException {
        String url = HOST + ":" + ports(instance).ready() + "/ready";
        return http.send("GET", url, null).status() == 200;
    }

    /**
     * Checks whether an instance exports its metrics.
     *
     * @param instance its name, not null
     * @return true if it answers
     * @throws SessionException if it doesn't answer
     */
    public boolean exportsMetrics(String instance) throws SessionException {
        String url = HOST + ":" + ports(instance).metrics() + "/metrics";
        return http.send("GET", url, null).status() == 200;
    }

    /**
     * Returns the process of an instance.
     *
     * @param instance its name, not null
     * @return the process, never null
     */
    public ChildProcess process(String instance) {
        return instances.get(instance).process();
    }

    /**
     * Returns the ports of an instance.
     *
     * @param instance its name, not null
     * @return the ports, never null
     */
    public Ports ports(String instance) {
        return instances.get(instance).ports();
    }

    /**
     * Finds the instance with the latest won election in its log.
     *
     * @return its name, empty if no election was won
     * @throws SessionException if a log can't be read
     */
    public Optional<String> lastElected() throws SessionException {
        String leader = null;
        long leaderEpoch = 0;
        Pattern won = Pattern.compile("LEADERSHIP_WON.*\"epoch\":(\\d+)");
        for (String name : instances.keySet()) {
            Matcher matcher = won.matcher(logText(name));
            while (matcher.find()) {
                long epoch = Long.parseLong(matcher.group(1));
                if (epoch > leaderEpoch) {
                    leaderEpoch = epoch;
                    leader = name;
                }
            }
        }
        return Optional.ofNullable(leader);
    }

    /**
     * Returns the log of an instance.
     *
     * @param instance its name, not null
     * @return the text, never null
     * @throws SessionException if they can't be read
     */
    public String logText(String instance) throws SessionException {
        return read(logFile(instance));
    }

    /**
     * Returns how many tasks were started, or started while another run of the same task ran, or
     * are running.
     *
     * @param counter {@code starts}, {@code overlaps} or {@code running}, not null
     * @return the number
     * @throws SessionException if the stand-ins don't answer
     */
    public int count(String counter) throws SessionException {
        Matcher matcher =
                NUMBER_FIELD.matcher(
                        http.send("GET", HOST + ":" + standinPort("counts"), null).body());
        while (matcher.find()) {
            if (matcher.group(1).equals(counter)) {
                return Integer.parseInt(matcher.group(2));
            }
        }
        throw new SessionException("the stand-ins don't report the counter " + counter);
    }

    @Override
    public void close() {
        instances.values().forEach(instance -> instance.process().kill());
        standins.kill();
    }

    private int standinPort(String name) {
        return standins.port(name);
    }

    private String storeAddress() {
        return HOST + ":" + standinPort("store");
    }

    private Path logFile(String name) {
        return folder.resolve(name + ".log");
    }

    private String settings(String name, Ports ports) {
        return InstanceSettings.text(
                name,
                "dc-1",
                ports.callers(),
                ports.ready(),
                ports.metrics(),
                standinPort("store"));
    }

    private static String read(Path file) throws SessionException {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new SessionException("can't read " + file + ": " + e);
        }
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
            throw new SessionException("can't find a free port: " + e);
        }
    }
}
