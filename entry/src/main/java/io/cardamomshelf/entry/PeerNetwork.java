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
 * The connections between entries: heartbeats, configurations, and questions about answers.
 *
 * <p>Each entry dials every other listed entry. A dialled connection carries this entry's
 * heartbeats and questions; the replies come back on it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class PeerNetwork {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int IDLE_SECONDS = 5;
    private static final long QUERY_TIMEOUT_MILLIS = 3_000;
    private static final long RECONNECT_CHECK_MILLIS = 50;

    private final Vertx vertx;
    private final Timers timers;
    private final InstanceIdentity self;
    private final Events events;
    private final Members members;
    private final ConfigFollower config;
    private final BooleanSupplier leaving;
    private final Function<PeerMessage.AnswerQuery, Uni<PeerMessage.AnswerReply>> answers;
    private final NetServer server;
    private final NetClient client;
    private final Map<String, PeerConnection> dialled = new HashMap<>();
    private final Set<String> dialling = new TreeSet<>();
    private final Map<Long, UniEmitter<? super PeerMessage.AnswerReply>> queries = new HashMap<>();
    private long lastQuery;

    PeerNetwork(
            Vertx vertx,
            InstanceIdentity self,
            Events events,
            Members members,
            ConfigFollower config,
            BooleanSupplier leaving,
            Function<PeerMessage.AnswerQuery, Uni<PeerMessage.AnswerReply>> answers) {
        this.vertx = vertx;
        this.timers = new Timers(vertx);
        this.self = self;
        this.events = events;
        this.members = members;
        this.config = config;
        this.leaving = leaving;
        this.answers = answers;
        this.server = vertx.createNetServer(new NetServerOptions().setIdleTimeout(IDLE_SECONDS));
        this.client =
                vertx.createNetClient(
                        new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    }

    Uni<Integer> listen(Endpoint at) {
        server.connectHandler(
                socket -> new PeerConnection(socket, events, this::receive, connection -> {}));
        return server.listen(at.port(), at.host()).map(NetServer::actualPort);
    }

    Uni<Void> close() {
        dialled.values().forEach(PeerConnection::close);
        return server.close();
    }

    /** Dials what isn't connected, and sends a heartbeat on what is. */
    void tick() {
        Set<String> wanted = new TreeSet<>();
        for (Instance entry : members.otherEntries()) {
            wanted.add(entry.id());
            if (!dialled.containsKey(entry.id()) && dialling.add(entry.id())) {
                dial(entry);
            }
        }
        HybridTime clock = events.clock();
        PeerMessage beat =
                new PeerMessage.Heartbeat(
                        self.run().value(),
                        clock.millis(),
                        clock.counter(),
                        config.state().offset(),
                        config.isReachable(),
                        leaving.getAsBoolean());
        Map.copyOf(dialled)
                .forEach(
                        (id, connection) -> {
                            if (wanted.contains(id)) {
                                connection.send(beat);
                            } else {
                                connection.close();
                            }
                        });
    }

    /** Asks another run for its attempt's answer; fails if that run can't be reached in time. */
    Uni<PeerMessage.AnswerReply> ask(InstanceId run, String attempt, String request) {
        return connection(run, Clock.millis() + QUERY_TIMEOUT_MILLIS)
                .chain(connection -> ask(connection, attempt, request));
    }

    /** Waits for a connection, which may be about to be made after a start or a cut. */
    private Uni<PeerConnection> connection(InstanceId run, long deadlineMillis) {
        Optional<PeerConnection> connection =
                dialled.values().stream().filter(other -> other.isRun(run)).findFirst();
        if (connection.isPresent()) {
            return Uni.createFrom().item(connection.get());
        }
        if (Clock.millis() > deadlineMillis) {
            return Uni.createFrom().failure(new IllegalStateException("not connected: " + run));
        }
        return timers.pause(RECONNECT_CHECK_MILLIS).chain(() -> connection(run, deadlineMillis));
    }

    private Uni<PeerMessage.AnswerReply> ask(
            PeerConnection connection, String attempt, String request) {
        long query = ++lastQuery;
        return Uni.createFrom()
                .<PeerMessage.AnswerReply>emitter(
                        emitter -> {
                            queries.put(query, emitter);
                            connection.send(new PeerMessage.AnswerQuery(query, attempt, request));
                            vertx.setTimer(QUERY_TIMEOUT_MILLIS, id -> expire(query));
                        });
    }

    private void expire(long query) {
        UniEmitter<? super PeerMessage.AnswerReply> emitter = queries.remove(query);
        if (emitter != null) {
            emitter.fail(new IllegalStateException("no reply"));
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
        connection.send(new PeerMessage.Hello(self.run().value(), self.dataCentre().value()));
        connection.send(new PeerMessage.FoldQuery(config.state().offset()));
    }

    private void receive(PeerConnection from, PeerMessage message) throws FrameException {
        try {
            if (message instanceof PeerMessage.Hello hello) {
                from.greet(InstanceId.of(hello.instance()), DataCentreId.of(hello.dataCentre()));
                from.send(new PeerMessage.Hello(self.run().value(), self.dataCentre().value()));
            } else if (message instanceof PeerMessage.Heartbeat beat) {
                beat(from, beat);
            } else if (message instanceof PeerMessage.FoldQuery query) {
                offer(from, query);
            } else if (message instanceof PeerMessage.FoldReply reply) {
                adopt(reply);
            } else if (message instanceof PeerMessage.AnswerQuery query) {
                answers.apply(query).subscribe().with(from::send, failure -> {});
            } else if (message instanceof PeerMessage.AnswerReply reply) {
                answered(reply);
            }
        } catch (IllegalArgumentException e) {
            from.refuse(e.getMessage());
        }
    }

    private void beat(PeerConnection from, PeerMessage.Heartbeat beat) {
        events.receive(new HybridTime(beat.millis(), beat.counter()));
        if (from.dataCentre().isEmpty()) {
            from.refuse("heartbeat before hello");
            return;
        }
        ConfigurationFreshness.PeerReport sight =
                new ConfigurationFreshness.PeerReport(
                        from.dataCentre().get(),
                        Clock.millis(),
                        beat.logReachable(),
                        beat.configOffset());
        members.beat(InstanceId.of(beat.instance()), sight, beat.leaving());
        if (beat.configOffset() > config.state().offset() && !config.isReachable()) {
            from.send(new PeerMessage.FoldQuery(config.state().offset()));
        }
    }

    private void offer(PeerConnection from, PeerMessage.FoldQuery query) {
        if (config.state().offset() > query.offset()) {
            String snapshot = ConfigJson.write(config.state());
            from.send(new PeerMessage.FoldReply(config.state().offset(), snapshot));
        }
    }

    private void adopt(PeerMessage.FoldReply reply) {
        if (ConfigJson.readRecord(reply.snapshot())
                instanceof ConfigRecord.SnapshotRecord snapshot) {
            config.adopt(snapshot.state());
        }
    }

    private void answered(PeerMessage.AnswerReply reply) {
        UniEmitter<? super PeerMessage.AnswerReply> emitter = queries.remove(reply.query());
        if (emitter != null) {
            emitter.complete(reply);
        }
    }
}
