package io.cardamomshelf.sessions;

import io.cardamomshelf.platform.PlatformMain;
import io.cardamomshelf.standin.platform.SoakStandinMain;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

/**
 * The processes of a soak on loopback: a store, groups of workers and instances, with a relay
 * between each instance and each worker.
 *
 * <p>Each deployment holds a range of ports of its own, so that several can run side by side.
 * Thread-safe.
 */
final class SoakDeployment implements AutoCloseable {

    /** The number of instances. */
    static final int INSTANCES = 7;

    /** How many workers share a process. */
    static final int GROUP_SIZE = 4;

    /** The most workers for which a range has ports. */
    static final int MAX_WORKERS = 200;

    /** The API key of the clients. */
    static final String KEY = "key-of-the-soak";

    private static final String HOST = "127.0.0.1";
    private static final int FIRST_RANGE = 3_000;
    private static final int RANGE_SIZE = 500;
    private static final int RANGES = 18;
    private static final int STORE_OFFSET = 1;
    private static final int INSTANCE_OFFSET = STORE_OFFSET + INSTANCES;
    private static final int PORTS_PER_INSTANCE = 3;
    private static final int WORKER_OFFSET = INSTANCE_OFFSET + INSTANCES * PORTS_PER_INSTANCE;
    private static final int DATA_CENTRES = 3;
    private static final long HISTORY_MILLIS = 20_000;
    private static final String CONFIGURATION =
            """
            {"version":1,"routes":[%s],"services":[{"name":"rota"}],
            "limits":{"max_body_bytes":262144},
            "tenants":[{"name":"circle","api_keys":["%s"],"guaranteed":{"gpus":8}}]}""";
    private static final String ROUTE =
            """
            {"name":"%s","host":"127.0.0.1","path_prefix":"/%s/","type":"non_idempotent",
            "timeout_ms":3000,"target_duration_ms":600,"priority":%d,"service":"rota",
            "max_attempts":3,"slack_factor":1.5,"public":false}""";

    private final Path folder;
    private final int workers;
    private final SoakHistory history;
    private final Http http = new Http();
    private final SoakGangs gangs;
    private final ServerSocket range;
    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final SoakRelay[][] relays;
    private final ChildProcess[] instances = new ChildProcess[INSTANCES];
    private final AtomicReferenceArray<ChildProcess> groups;
    private final List<Object> groupLocks;
    private ChildProcess store;
    private volatile boolean isClosed;

    private SoakDeployment(Path folder, int workers, SoakHistory history) throws SessionException {
        this.folder = folder;
        this.workers = workers;
        this.history = history;
        groups = new AtomicReferenceArray<>((workers + GROUP_SIZE - 1) / GROUP_SIZE);
        groupLocks = IntStream.range(0, groups()).mapToObj(i -> new Object()).toList();
        gangs = new SoakGangs(history, this::command);
        range = holdRange();
        relays = new SoakRelay[INSTANCES][workers];
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** Starts all processes and waits until the instances are ready. */
    static SoakDeployment start(Path folder, int workers, SoakHistory history)
            throws SessionException {
        SoakDeployment deployment = new SoakDeployment(folder, workers, history);
        try {
            deployment.startAll();
        } catch (SessionException | RuntimeException e) {
            deployment.close();
            throw e;
        }
        return deployment;
    }

    private void startAll() throws SessionException {
        store =
                ChildProcess.start(
                        folder.resolve("store.err"),
                        SoakStandinMain.class,
                        texts("store", port(STORE_OFFSET), INSTANCES, HISTORY_MILLIS));
        String routes =
                ROUTE.formatted("low", "low", 1) + "," + ROUTE.formatted("urgent", "urgent", 0);
        http.send("PUT", storeAddress() + "/operator/config", CONFIGURATION.formatted(routes, KEY));
        for (int caller = 0; caller < INSTANCES; caller++) {
            for (int worker = 0; worker < workers; worker++) {
                int target = port(WORKER_OFFSET) + worker;
                relays[caller][worker] = new SoakRelay(vertx, target, sourceAddress(caller));
                relays[caller][worker].listen(sourceAddress(caller), target + workers);
            }
        }
        for (int group = 0; group < groups.length(); group++) {
            startGroup(group, 0);
        }
        for (int i = 0; i < INSTANCES; i++) {
            startInstance(i);
        }
        for (int i = 0; i < INSTANCES; i++) {
            int instance = i;
            Wait.until(instanceName(i) + " is ready", () -> isReady(instance));
        }
    }

    private static String[] texts(Object... values) {
        return Arrays.stream(values).map(String::valueOf).toArray(String[]::new);
    }

    /** Returns an instance's name. */
    static String instanceName(int instance) {
        return "n" + instance;
    }

    /** Returns a worker's identifier. */
    static String workerName(int worker) {
        return "i-" + worker;
    }

    /** Returns the address of an instance's relays, from which workers see its calls. */
    static String sourceAddress(int instance) {
        return "127.0.0." + (10 + instance);
    }

    int workers() {
        return workers;
    }

    int groups() {
        return groups.length();
    }

    /** Returns the workers that share a process. */
    IntStream workersOf(int group) {
        return IntStream.range(group * GROUP_SIZE, Math.min(workers, (group + 1) * GROUP_SIZE));
    }

    String callersAddress(int instance) {
        return HOST + ":" + instancePort(instance, 0);
    }

    boolean isReady(int instance) throws SessionException {
        return http.send("GET", HOST + ":" + instancePort(instance, 1) + "/ready", null).status()
                == 200;
    }

    /** Starts an instance unless it is alive. */
    void startInstance(int instance) throws SessionException {
        synchronized (instances) {
            if (isClosed || instances[instance] != null && instances[instance].isAlive()) {
                return;
            }
            String name = instanceName(instance);
            Path settings = folder.resolve(name + ".conf");
            String text =
                    InstanceSettings.text(
                            name,
                            "dc-" + (instance % DATA_CENTRES + 1),
                            instancePort(instance, 0),
                            instancePort(instance, 1),
                            instancePort(instance, 2),
                            port(STORE_OFFSET) + instance);
            write(settings, text);
            instances[instance] =
                    ChildProcess.launch(
                            folder.resolve(name + ".log"),
                            folder.resolve(name + ".err"),
                            relayResolution(instance),
                            PlatformMain.class,
                            "--settings",
                            settings.toString());
        }
    }

    /** Makes an instance resolve the workers' host to the address of its own relays. */
    private List<String> relayResolution(int instance) throws SessionException {
        Path hosts = folder.resolve(instanceName(instance) + ".hosts");
        write(hosts, sourceAddress(instance) + " " + SoakStandinMain.RELAY_HOST);
        return List.of("-Dvertx.disableDnsResolver=true", "-Djdk.net.hosts.file=" + hosts);
    }

    /** Returns the process of an instance. */
    ChildProcess instance(int instance) {
        synchronized (instances) {
            return instances[instance];
        }
    }

    /** Starts a process of workers unless it is alive. */
    void startGroup(int group, long clockOffsetMillis) throws SessionException {
        synchronized (groupLocks.get(group)) {
            if (isClosed || groups.get(group) != null && groups.get(group).isAlive()) {
                return;
            }
            ChildProcess process =
                    ChildProcess.startReporting(
                            folder.resolve("workers-" + group + ".err"),
                            this::takeLine,
                            SoakStandinMain.class,
                            texts(
                                    "workers",
                                    port(STORE_OFFSET),
                                    group * GROUP_SIZE,
                                    workersOf(group).count(),
                                    port(WORKER_OFFSET),
                                    port(WORKER_OFFSET) + workers,
                                    clockOffsetMillis));
            groups.set(group, process);
            if (isClosed) {
                process.kill();
            }
        }
    }

    private void takeLine(String line) {
        SoakEvent event = SoakEvent.parse(line);
        history.add(event);
        gangs.take(event);
    }

    /** Returns a process of workers. */
    ChildProcess group(int group) {
        return groups.get(group);
    }

    /** Kills a process of workers and returns when it has ended. */
    void killGroup(int group) throws SessionException {
        ChildProcess process = group(group);
        process.kill();
        process.awaitEnd();
        long now = System.currentTimeMillis();
        workersOf(group).forEach(i -> history.add(new SoakEvent.Down(now, workerName(i))));
    }

    /** Sends a command for a worker to its process. */
    void command(String worker, String verb, Object... arguments) throws SessionException {
        int index = Integer.parseInt(worker.substring(worker.indexOf('-') + 1));
        String rest = String.join(" ", texts(arguments));
        group(index / GROUP_SIZE).send((verb + " " + worker + " " + rest).strip());
    }

    /** Sets the store's fault for one instance. */
    void setStoreFault(int instance, String fault) throws SessionException {
        http.send("PUT", storeAddress() + "/switch/" + fault + "?caller=" + instance, "");
    }

    /** Sets the fault of the relays between some instances and some workers. */
    void setRelayFault(IntPredicate instance, IntPredicate worker, SoakRelay.Fault fault) {
        vertx.runOnContext(
                none -> {
                    for (int i = 0; i < INSTANCES; i++) {
                        for (int w = 0; w < workers; w++) {
                            if (instance.test(i) && worker.test(w)) {
                                relays[i][w].setFault(fault);
                            }
                        }
                    }
                });
    }

    private void killAll() {
        isClosed = true;
        List<ChildProcess> all;
        // No instance is started any more once the lock is held.
        synchronized (instances) {
            all = new ArrayList<>(Arrays.asList(instances));
        }
        IntStream.range(0, groups()).mapToObj(groups::get).forEach(all::add);
        all.add(store);
        all.stream().filter(process -> process != null).forEach(ChildProcess::kill);
    }

    @Override
    public void close() {
        killAll();
        vertx.close();
        try {
            range.close();
        } catch (IOException e) {
            throw new IllegalStateException("can't release the ports", e);
        }
    }

    private String storeAddress() {
        return HOST + ":" + port(STORE_OFFSET);
    }

    private int port(int offset) {
        return range.getLocalPort() + offset;
    }

    private int instancePort(int instance, int index) {
        return port(INSTANCE_OFFSET + instance * PORTS_PER_INSTANCE + index);
    }

    /** Finds a range of free ports; listening on its first port keeps other deployments away. */
    private static ServerSocket holdRange() throws SessionException {
        for (int i = 0; i < RANGES; i++) {
            int first = FIRST_RANGE + i * RANGE_SIZE;
            ServerSocket holder = null;
            try {
                holder = listen(first);
                for (int port = first + 1; port < first + RANGE_SIZE; port++) {
                    listen(port).close();
                }
                return holder;
            } catch (IOException e) {
                closeQuietly(holder);
            }
        }
        throw new SessionException("no free range of ports");
    }

    private static ServerSocket listen(int port) throws IOException {
        return new ServerSocket(port, 1, InetAddress.getByName(HOST));
    }

    private static void closeQuietly(ServerSocket socket) throws SessionException {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            throw new SessionException("can't release a port: " + e);
        }
    }

    private static void write(Path file, String text) throws SessionException {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new SessionException("can't write " + file + ": " + e);
        }
    }
}
