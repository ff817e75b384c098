package io.cardamomshelf.entry;

import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.config.Grant;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.request.ClaimRecord;
import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.Verdict;
import io.cardamomshelf.wire.PeerMessage;
import io.smallrye.mutiny.Uni;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Takes callers' requests: checks the grant, claims the key of a non-idempotent one, runs it, and
 * answers a repeat with what the first attempt got.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class RequestRouter {

    /** How many answers of non-idempotent requests are kept for repeats. */
    private static final int ANSWERS_KEPT = 1_000;

    private final InstanceIdentity self;
    private final Timers timers;
    private final Supplier<ConfigState> config;
    private final AttemptLoop loop;
    private final ClaimLog claims;
    private final Events events;
    private final Map<OrganisationId, Integer> inFlight = new HashMap<>();
    private final Map<String, Uni<Answer>> answers = new LinkedHashMap<>();
    private PeerNetwork peers;

    RequestRouter(
            InstanceIdentity self,
            Timers timers,
            Supplier<ConfigState> config,
            AttemptLoop loop,
            ClaimLog claims,
            Events events) {
        this.self = self;
        this.timers = timers;
        this.config = config;
        this.loop = loop;
        this.claims = claims;
        this.events = events;
    }

    void connect(PeerNetwork network) {
        peers = network;
    }

    int inFlight() {
        return inFlight.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Answers a request.
     *
     * @return the answer; never fails
     */
    Uni<Answer> answer(String requestId, RequestCall call) {
        Optional<Grant> grant = config.get().grant(call.organisation());
        if (grant.isEmpty() || config.get().plan(call.organisation()).isEmpty()) {
            return Uni.createFrom().item(Answer.notRun(Reason.NOT_GRANTED));
        }
        if (inFlight.getOrDefault(call.organisation(), 0) >= grant.get().maxRequests()) {
            return Uni.createFrom().item(Answer.notRun(Reason.OVERLOADED));
        }
        inFlight.merge(call.organisation(), 1, Integer::sum);
        Uni<Answer> answer = call.idempotent() ? loop.run(requestId, call) : once(requestId, call);
        return answer.onTermination()
                .invoke(() -> inFlight.merge(call.organisation(), -1, Integer::sum))
                .invoke(
                        made ->
                                events.publish(
                                        EventType.REQUEST_ANSWERED,
                                        requestId,
                                        made.verdict()
                                                + " "
                                                + made.reason()
                                                + ", attempts "
                                                + made.attempts()));
    }

    /** Answers a repeat that another entry handed over, by the answer of the own attempt. */
    Uni<PeerMessage.AnswerReply> answerPeer(PeerMessage.AnswerQuery query) {
        if (!answers.containsKey(query.attempt())) {
            return Uni.createFrom().item(new PeerMessage.AnswerReply(query.query(), false, ""));
        }
        try {
            RequestCall call = Json.read(query.request(), RequestCall.class);
            return repeat(query.attempt(), call)
                    .map(
                            made ->
                                    new PeerMessage.AnswerReply(
                                            query.query(), true, Json.write(made)));
        } catch (FormatException e) {
            return Uni.createFrom().item(new PeerMessage.AnswerReply(query.query(), false, ""));
        }
    }

    private Uni<Answer> once(String requestId, RequestCall call) {
        Optional<ClaimRecord> winner = claims.table().winner(call.organisation(), call.key());
        if (winner.isPresent()) {
            return ofWinner(requestId, winner.get(), call);
        }
        ClaimRecord claim = new ClaimRecord(call.organisation(), call.key(), requestId, self.run());
        // Remembered before the claim is in the log: another instance may see it there first and
        // ask.
        return remember(
                requestId,
                timers.within(call.deadlineMillis(), claims.claim(claim))
                        .map(Optional::of)
                        .onFailure()
                        .recoverWithItem(Optional.empty())
                        .chain(held -> ofClaim(requestId, held, call)));
    }

    private Uni<Answer> ofClaim(String requestId, Optional<ClaimRecord> held, RequestCall call) {
        return held.isPresent()
                ? ofWinner(requestId, held.get(), call)
                : Uni.createFrom().item(Answer.notRun(Reason.LOG_AWAY));
    }

    private Uni<Answer> ofWinner(String requestId, ClaimRecord winner, RequestCall call) {
        if (winner.attempt().equals(requestId)) {
            return loop.run(requestId, call);
        }
        events.publish(EventType.CLAIM_LOST, requestId, winner.attempt(), "");
        if (winner.owner().equals(self.run())) {
            return answers.containsKey(winner.attempt())
                    ? repeat(winner.attempt(), call)
                    : Uni.createFrom().item(Answer.mayHaveRun(Reason.KEY_IN_USE));
        }
        return peers.ask(winner.owner(), winner.attempt(), Json.write(call))
                .map(RequestRouter::ofReply)
                .onFailure()
                .recoverWithItem(Answer.mayHaveRun(Reason.KEY_IN_USE));
    }

    /** Waits for the first attempt's answer; one that is known not to have run is made again. */
    private Uni<Answer> repeat(String attempt, RequestCall call) {
        Uni<Answer> first = answers.get(attempt);
        return first.chain(
                made -> {
                    boolean again =
                            made.verdict() == Verdict.NOT_RUN && answers.get(attempt) == first;
                    if (!again) {
                        return answers.getOrDefault(attempt, first);
                    }
                    return remember(attempt, loop.run(attempt + "r", call));
                });
    }

    private Uni<Answer> remember(String attempt, Uni<Answer> answer) {
        Uni<Answer> kept = answer.memoize().indefinitely();
        answers.put(attempt, kept);
        if (answers.size() > ANSWERS_KEPT) {
            answers.remove(answers.keySet().iterator().next());
        }
        return kept;
    }

    private static Answer ofReply(PeerMessage.AnswerReply reply) {
        try {
            return reply.known()
                    ? Json.read(reply.answer(), Answer.class)
                    : Answer.mayHaveRun(Reason.KEY_IN_USE);
        } catch (FormatException e) {
            return Answer.mayHaveRun(Reason.ANSWER_LOST);
        }
    }
}
