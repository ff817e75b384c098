package io.cardamomshelf.sessions;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cardamomshelf.client.ConfigJson;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.config.Availability;
import io.cardamomshelf.core.config.Change;
import io.cardamomshelf.core.config.Edit;
import io.cardamomshelf.core.config.EntryKey;
import io.cardamomshelf.core.config.Grant;
import io.cardamomshelf.core.config.Guarantee;
import io.cardamomshelf.core.config.Plan;
import io.cardamomshelf.core.fleet.Worker;
import io.cardamomshelf.core.membership.Instance;
import io.cardamomshelf.entry.EntryInstance;
import io.cardamomshelf.entry.settings.Limits;
import io.cardamomshelf.entry.settings.Settings;
import io.cardamomshelf.entry.settings.Shutdown;
import io.cardamomshelf.standin.ListStandin;
import io.cardamomshelf.standin.LogStandin;
import io.cardamomshelf.standin.WorkerStandin;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A deployment in the test's own process: entries, workers and the platform's stand-ins. Tests use
 * it where a stand-in's mode must change at an exact point; {@link Deployment} starts separate
 * processes instead.
 */
final class LocalDeployment implements AutoCloseable {

    static final String ORGANISATION = "rotating-savings";
    private static final String HOST = "127.0.0.1";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    record Reply(int status, JsonNode body) {
        String text(String field) {
            return body.path(field).asText();
        }
    }

    private final List<Vertx> vertxInstances = new ArrayList<>();
    private final Map<String, Vertx> entryVertx = new LinkedHashMap<>();
    private final Http http = new Http();
    private final int logPort;
    private final int listPort;
    private final LogStandin log;
    private final ListStandin list;
    private final Map<String, WorkerStandin> workers = new LinkedHashMap<>();
    private final Map<String, EntryInstance> entries = new LinkedHashMap<>();
    private final Map<String, EntryInstance.Ports> ports = new LinkedHashMap<>();
    private int editCount;

    LocalDeployment() {
        this(100_000);
    }

    LocalDeployment(int retention) {
        log = new LogStandin(newVertx(), retention, 500);
        list = new ListStandin(newVertx());
        logPort = log.start(0).await().indefinitely();
        listPort = list.start(0).await().indefinitely();
    }

    LogStandin log() {
        return log;
    }

    ListStandin list() {
        return list;
    }

    WorkerStandin worker(String name) {
        return workers.get(name);
    }

    EntryInstance entry(String name) {
        return entries.get(name);
    }

    void addWorker(String name, String dataCentre) {
        Worker worker =
                new Worker(
                        WorkerId.of(name),
                        DataCentreId.of(dataCentre),
                        dataCentre + "-r1",
                        8,
                        128,
                        500_000);
        WorkerStandin standin = new WorkerStandin(newVertx(), worker);
        workers.put(name, standin);
        int port = standin.start(0).await().indefinitely();
        list.put(instance(name, Instance.Role.WORKER, dataCentre, port, 0, false));
    }

    void addEntry(String name, String dataCentre) throws SessionException {
        addEntry(name, dataCentre, null);
    }

    void addEntry(String name, String dataCentre, Limits limits) throws SessionException {
        Settings settings =
                new Settings(
                        name,
                        DataCentreId.of(dataCentre),
                        "gauteng",
                        HOST + ":0",
                        new Settings.Operators(null, Deployment.TOKEN),
                        HOST + ":0",
                        new Settings.Platform(HOST + ":" + logPort, HOST + ":" + listPort),
                        limits,
                        new Shutdown(200L, 10_000L),
                        null);
        Vertx vertx = newVertx();
        entryVertx.put(name, vertx);
        EntryInstance entry = new EntryInstance(vertx, settings);
        EntryInstance.Ports boundPorts = entry.start().await().indefinitely();
        entries.put(name, entry);
        ports.put(name, boundPorts);
        list.put(
                instance(
                        name,
                        Instance.Role.ENTRY,
                        dataCentre,
                        boundPorts.callers(),
                        boundPorts.peers(),
                        false));
    }

    /** Publishes one organisation that may use the given data centres and has the guarantees. */
    void publish(int quota, List<Guarantee> guarantees, String... dataCentres)
            throws SessionException {
        Set<DataCentreId> granted = new HashSet<>();
        for (String dataCentre : dataCentres) {
            granted.add(DataCentreId.of(dataCentre));
        }
        OrganisationId name = OrganisationId.of(ORGANISATION);
        edit(
                List.of(
                        new Change(
                                EntryKey.plan(name),
                                0,
                                Optional.of(new Plan(guarantees, quota, 1))),
                        new Change(EntryKey.grant(name), 0, Optional.of(new Grant(granted, 60)))));
    }

    void setAvailable(String dataCentre, boolean available, long basedOn) throws SessionException {
        EntryKey key = EntryKey.dataCentre(DataCentreId.of(dataCentre));
        edit(List.of(new Change(key, basedOn, Optional.of(new Availability(available, "")))));
    }

    void edit(List<Change> changes) throws SessionException {
        Edit edit = new Edit(Edit.FORMAT, "e-" + ++editCount, "test", changes);
        sendForStatus(
                "POST", HOST + ":" + logPort + "/streams/config/records", ConfigJson.write(edit));
    }

    void awaitReady() throws SessionException {
        for (String entry : entries.keySet()) {
            Wait.until(
                    entry + " is ready",
                    () -> sendForStatus("GET", callers(entry) + "/ready", null) == 200);
        }
    }

    /** Waits until every entry has applied an offset and counts so many accelerators. */
    void awaitOffsetAndAccelerators(long offset, String dataCentre, int accelerators)
            throws SessionException {
        for (String entry : entries.keySet()) {
            Wait.until(
                    entry
                            + " is at offset "
                            + offset
                            + " and counts "
                            + accelerators
                            + " in "
                            + dataCentre,
                    () ->
                            hasOffsetAndAccelerators(
                                    status(entry), offset, dataCentre, accelerators));
        }
    }

    private static boolean hasOffsetAndAccelerators(
            JsonNode status, long offset, String dataCentre, int accelerators) {
        boolean matches = false;
        for (JsonNode candidate : status.path("dataCentres")) {
            matches |=
                    candidate.path("dataCentre").asText().equals(dataCentre)
                            && candidate.path("total").asInt() == accelerators;
        }
        return matches && status.path("configOffset").asLong() >= offset;
    }

    JsonNode status(String entry) throws SessionException {
        return operators(entry, "/v1/status");
    }

    JsonNode timeline(String entry) throws SessionException {
        return operators(entry, "/v1/timeline").path("events");
    }

    String metrics(String entry) throws SessionException {
        return http.send(
                        "GET",
                        operators(entry) + "/metrics",
                        null,
                        "Authorization",
                        "Bearer " + Deployment.TOKEN)
                .body();
    }

    private JsonNode operators(String entry, String path) throws SessionException {
        return send(
                        "GET",
                        operators(entry) + path,
                        null,
                        "Authorization",
                        "Bearer " + Deployment.TOKEN)
                .body();
    }

    String logEndpoint() {
        return HOST + ":" + logPort;
    }

    String operators(String entry) {
        return HOST + ":" + ports.get(entry).operators();
    }

    String callers(String entry) {
        return HOST + ":" + ports.get(entry).callers();
    }

    int peerPort(String entry) {
        return ports.get(entry).peers();
    }

    Reply request(String entry, boolean idempotent, String payload, String... headers)
            throws SessionException {
        String body =
                "{\"organisation\":\""
                        + ORGANISATION
                        + "\",\"idempotent\":"
                        + idempotent
                        + ",\"deadlineMillis\":4000,\"payload\":\""
                        + payload
                        + "\"}";
        return send("POST", callers(entry) + "/v1/requests", body, headers);
    }

    Reply submit(String entry, int accelerators, long runMillis) throws SessionException {
        String body =
                "{\"organisation\":\""
                        + ORGANISATION
                        + "\",\"accelerators\":"
                        + accelerators
                        + ",\"estimateMillis\":1000,\"payload\":\"{\\\"runMillis\\\":"
                        + runMillis
                        + "}\"}";
        return send("POST", callers(entry) + "/v1/jobs", body);
    }

    Reply cancel(String entry, String job) throws SessionException {
        return send("DELETE", callers(entry) + "/v1/jobs/" + job, null);
    }

    Reply job(String entry, String job) throws SessionException {
        return send("GET", callers(entry) + "/v1/jobs/" + job, null);
    }

    void awaitJob(String entry, String job, String state) throws SessionException {
        Wait.until(job + " is " + state, () -> job(entry, job).text("state").equals(state));
    }

    Reply send(String method, String url, String body, String... headers) throws SessionException {
        Deployment.Reply reply = http.send(method, url, body, headers);
        try {
            boolean json = reply.body().startsWith("{");
            return new Reply(
                    reply.status(),
                    json ? MAPPER.readTree(reply.body()) : MAPPER.createObjectNode());
        } catch (IOException e) {
            throw new SessionException("reply is not valid JSON: " + reply.body());
        }
    }

    private int sendForStatus(String method, String url, String body) throws SessionException {
        return send(method, url, body).status();
    }

    /** Closes an entry's event loop without a shutdown, as a crash would, and unlists the entry. */
    void crash(String entry) {
        Vertx vertx = entryVertx.remove(entry);
        vertxInstances.remove(vertx);
        vertx.closeAndAwait();
        entries.remove(entry);
        list.remove(entry);
    }

    private static Instance instance(
            String name,
            Instance.Role role,
            String dataCentre,
            int port,
            int peerPort,
            boolean leaving) {
        return new Instance(
                name, role, DataCentreId.of(dataCentre), "gauteng", HOST, port, peerPort, leaving);
    }

    private Vertx newVertx() {
        VertxOptions options =
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1);
        Vertx vertx = Vertx.vertx(options);
        vertxInstances.add(vertx);
        return vertx;
    }

    @Override
    public void close() {
        vertxInstances.forEach(Vertx::closeAndAwait);
    }
}
