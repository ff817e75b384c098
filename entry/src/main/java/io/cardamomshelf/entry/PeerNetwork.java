package io.cardamomshelf.entry;

import io.cardamomshelf.client.ConfigJson;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.InstanceId;
import io.cardamomshelf.core.config.ConfigRecord;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.event.HybridTime;
import io.cardamomshelf.core.membership.ConfigurationFreshness;
import io.cardamomshelf.core.membership.Instance;
import io.cardamomshelf.wire.FrameException;
import io.cardamomshelf.wire.PeerMessage;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.net.NetClient;
import io.vertx.mutiny.core.net.NetServer;
import io.vertx.mutiny.core.net.NetSocket;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

/**
 * The connections to the other entries, over which they exchange heartbeats, configurations, and
 * the answers to repeated requests.
 *
 * <p>Each entry dials every other listed entry. A dialled connection carries this entry's
 * heartbeats and queries, and the replies to them.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class PeerNetwork {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int IDLE_TIMEOUT_SECONDS = 5;
    private static final long QUERY_TIMEOUT_MILLIS = 3_000;
    private static final long RECONNECT_CHECK_MILLIS = 50;

    private final Vertx vertx;
    private final Timers timers;
    private final InstanceIdentity identity;
    private final Events events;
    private final InstanceDirectory directory;
    private final ConfigFollower config;
    private final BooleanSupplier shuttingDown;
    private final Function<PeerMessage.AnswerQuery, Uni<PeerMessage.AnswerReply>> answerHandler;
    private final NetServer server;
    private final NetClient client;
    private final Map<String, PeerConnection> dialled = new HashMap<>();
    private final Set<String> dialling = new TreeSet<>();
    private final Map<Long, UniEmitter<? super PeerMessage.AnswerReply>> pendingQueries =
            new HashMap<>();
    private long lastQueryId;

    PeerNetwork(
            Vertx vertx,
            InstanceIdentity identity,
            Events events,
            InstanceDirectory directory,
            ConfigFollower config,
            BooleanSupplier shuttingDown,
            Function<PeerMessage.AnswerQuery, Uni<PeerMessage.AnswerReply>> answerHandler) {
        this.vertx = vertx;
        this.timers = new Timers(vertx);
        this.identity = identity;
        this.events = events;
        this.directory = directory;
        this.config = config;
        this.shuttingDown = shuttingDown;
        this.answerHandler = answerHandler;
        this.server =
                vertx.createNetServer(new NetServerOptions().setIdleTimeout(IDLE_TIMEOUT_SECONDS));
        this.client =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    Uni<Integer> listen(Endpoint endpoint) {
        server.connectHandler(
                socket -> new PeerConnection(socket, events, this::receive, connection -> {}));
        return server.listen(endpoint.port(), endpoint.host()).map(NetServer::actualPort);
    }

    Uni<Void> close() {
        dialled.values().forEach(PeerConnection::close);
        return server.close();
    }

    /**
     * Dials the listed entries that aren't connected, sends a heartbeat to those that are, and
     * closes connections to entries that are no longer listed.
     */
    void tick() {
        Set<String> listed = new TreeSet<>();
        for (Instance entry : directory.otherEntries()) {
            listed.add(entry.id());
            if (!dialled.containsKey(entry.id()) && dialling.add(entry.id())) {
                dial(entry);
            }
        }
        HybridTime now = events.clock();
        PeerMessage heartbeat =
                new PeerMessage.Heartbeat(
                        identity.runId().value(),
                        now.millis(),
                        now.counter(),
                        config.state().offset(),
                        config.isReachable(),
                        shuttingDown.getAsBoolean());
        Map.copyOf(dialled)
                .forEach(
                        (id, connection) -> {
                            if (listed.contains(id)) {
                                connection.send(heartbeat);
                            } else {
                                connection.close();
                            }
                        });
    }

    /** Queries another entry's run for an attempt's answer; fails if there is no reply in time. */
    Uni<PeerMessage.AnswerReply> queryAnswer(InstanceId run, String attempt, String request) {
        return awaitConnection(run, Clock.monotonicMillis() + QUERY_TIMEOUT_MILLIS)
                .chain(connection -> queryAnswer(connection, attempt, request));
    }

    /** Waits for the connection, which may not be open yet after a start or a failure. */
    private Uni<PeerConnection> awaitConnection(InstanceId run, long deadlineMillis) {
        Optional<PeerConnection> connection =
                dialled.values().stream().filter(other -> other.isConnectedTo(run)).findFirst();
        if (connection.isPresent()) {
            return Uni.createFrom().item(connection.get());
        }
        if (Clock.monotonicMillis() > deadlineMillis) {
            return Uni.createFrom().failure(new IllegalStateException("no connection to " + run));
        }
        return timers.delay(RECONNECT_CHECK_MILLIS)
                .chain(() -> awaitConnection(run, deadlineMillis));
    }

    private Uni<PeerMessage.AnswerReply> queryAnswer(
            PeerConnection connection, String attempt, String request) {
        long queryId = ++lastQueryId;
        return Uni.createFrom()
                .<PeerMessage.AnswerReply>emitter(
                        emitter -> {
                            pendingQueries.put(queryId, emitter);
                            connection.send(new PeerMessage.AnswerQuery(queryId, attempt, request));
                            vertx.setTimer(QUERY_TIMEOUT_MILLIS, id -> expire(queryId));
                        });
    }

    private void expire(long queryId) {
        UniEmitter<? super PeerMessage.AnswerReply> emitter = pendingQueries.remove(queryId);
        if (emitter != null) {
            emitter.fail(new IllegalStateException("no reply to query " + queryId));
        }
    }

    private void dial(Instance entry) {
        client.connect(entry.peerPort(), entry.host())
                .subscribe()
                .with(socket -> connected(entry, socket), failure -> dialling.remove(entry.id()));
    }

    private void connected(Instance entry, NetSocket socket) {
        dialling.remove(entry.id());
        PeerConnection connection =
                new PeerConnection(
                        socket,
                        events,
                        this::receive,
                        closed -> {
                            dialled.remove(entry.id());
                            events.publish(EventType.PEER_LOST, entry.id(), "");
                        });
        dialled.put(entry.id(), connection);
        events.publish(EventType.PEER_CONNECTED, entry.id(), "");
        connection.send(
                new PeerMessage.Hello(identity.runId().value(), identity.dataCentre().value()));
        connection.send(new PeerMessage.FoldQuery(config.state().offset()));
    }

    private void receive(PeerConnection from, PeerMessage message) throws FrameException {
        try {
            if (message instanceof PeerMessage.Hello hello) {
                from.identify(InstanceId.of(hello.instance()), DataCentreId.of(hello.dataCentre()));
                from.send(
                        new PeerMessage.Hello(
                                identity.runId().value(), identity.dataCentre().value()));
            } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
                heartbeatReceived(from, heartbeat);
            } else if (message instanceof PeerMessage.FoldQuery query) {
                sendNewerConfig(from, query);
            } else if (message instanceof PeerMessage.FoldReply reply) {
                adoptConfig(reply);
            } else if (message instanceof PeerMessage.AnswerQuery query) {
                answerHandler.apply(query).subscribe().with(from::send, failure -> {});
            } else if (message instanceof PeerMessage.AnswerReply reply) {
                answerReceived(reply);
            }
        } catch (IllegalArgumentException e) {
            from.refuse(e.getMessage());
        }
    }

    private void heartbeatReceived(PeerConnection from, PeerMessage.Heartbeat heartbeat) {
        events.mergeRemoteTime(new HybridTime(heartbeat.millis(), heartbeat.counter()));
        if (from.dataCentre().isEmpty()) {
            from.refuse("heartbeat before hello");
            return;
        }
        ConfigurationFreshness.PeerReport peerReport =
                new ConfigurationFreshness.PeerReport(
                        from.dataCentre().get(),
                        Clock.monotonicMillis(),
                        heartbeat.logReachable(),
                        heartbeat.configOffset());
        directory.recordHeartbeat(
                InstanceId.of(heartbeat.instance()), peerReport, heartbeat.leaving());
        if (heartbeat.configOffset() > config.state().offset() && !config.isReachable()) {
            from.send(new PeerMessage.FoldQuery(config.state().offset()));
        }
    }

    private void sendNewerConfig(PeerConnection from, PeerMessage.FoldQuery query) {
        if (config.state().offset() > query.offset()) {
            String snapshot = ConfigJson.write(config.state());
            from.send(new PeerMessage.FoldReply(config.state().offset(), snapshot));
        }
    }

    private void adoptConfig(PeerMessage.FoldReply reply) {
        if (ConfigJson.readRecord(reply.snapshot())
                instanceof ConfigRecord.SnapshotRecord snapshot) {
            config.adopt(snapshot.state());
        }
    }

    private void answerReceived(PeerMessage.AnswerReply reply) {
        UniEmitter<? super PeerMessage.AnswerReply> emitter = pendingQueries.remove(reply.query());
        if (emitter != null) {
            emitter.complete(reply);
        }
    }
}
