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
 * Routes callers' requests: checks the organisation's grant, claims the idempotency key of a
 * non-idempotent request, has {@link AttemptLoop} run it, and answers a repeated request with the
 * answer to the first attempt. {@link CallersApi} and {@link PeerNetwork} call it.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class RequestRouter {

    /** How many answers to non-idempotent requests are stored for repeated requests. */
    private static final int MAX_STORED_ANSWERS = 1_000;

    private final InstanceIdentity identity;
    private final Timers timers;
    private final Supplier<ConfigState> config;
    private final AttemptLoop loop;
    private final ClaimLog claims;
    private final Events events;
    private final Map<OrganisationId, Integer> inFlight = new HashMap<>();
    private final Map<String, Uni<Answer>> answers = new LinkedHashMap<>();
    private PeerNetwork peers;

    RequestRouter(
            InstanceIdentity identity,
            Timers timers,
            Supplier<ConfigState> config,
            AttemptLoop loop,
            ClaimLog claims,
            Events events) {
        this.identity = identity;
        this.timers = timers;
        this.config = config;
        this.loop = loop;
        this.claims = claims;
        this.events = events;
    }

    void setPeers(PeerNetwork network) {
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
        Uni<Answer> answer =
                call.idempotent() ? loop.run(requestId, call) : runOnce(requestId, call);
        return answer.onTermination()
                .invoke(() -> inFlight.merge(call.organisation(), -1, Integer::sum))
                .invoke(
                        result ->
                                events.publish(
                                        EventType.REQUEST_ANSWERED,
                                        requestId,
                                        result.verdict()
                                                + " "
                                                + result.reason()
                                                + ", attempts "
                                                + result.attempts()));
    }

    /**
     * Answers a query of another entry, which has received a repetition of a request that was first
     * attempted here.
     */
    Uni<PeerMessage.AnswerReply> answerPeer(PeerMessage.AnswerQuery query) {
        if (!answers.containsKey(query.attempt())) {
            return Uni.createFrom().item(new PeerMessage.AnswerReply(query.query(), false, ""));
        }
        try {
            RequestCall call = Json.read(query.request(), RequestCall.class);
            return answerRepeat(query.attempt(), call)
                    .map(
                            result ->
                                    new PeerMessage.AnswerReply(
                                            query.query(), true, Json.write(result)));
        } catch (FormatException e) {
            return Uni.createFrom().item(new PeerMessage.AnswerReply(query.query(), false, ""));
        }
    }

    private Uni<Answer> runOnce(String requestId, RequestCall call) {
        Optional<ClaimRecord> winner = claims.table().winner(call.organisation(), call.key());
        if (winner.isPresent()) {
            return answerForWinner(requestId, winner.get(), call);
        }
        ClaimRecord claim =
                new ClaimRecord(call.organisation(), call.key(), requestId, identity.runId());
        // The answer is stored before the claim is in the log, because another instance may read
        // the claim there first and query the answer.
        return storeAnswer(
                requestId,
                timers.withTimeout(call.deadlineMillis(), claims.claim(claim))
                        .map(Optional::of)
                        .onFailure()
                        .recoverWithItem(Optional.empty())
                        .chain(claimed -> answerAfterClaim(requestId, claimed, call)));
    }

    private Uni<Answer> answerAfterClaim(
            String requestId, Optional<ClaimRecord> winner, RequestCall call) {
        return winner.isPresent()
                ? answerForWinner(requestId, winner.get(), call)
                : Uni.createFrom().item(Answer.notRun(Reason.LOG_AWAY));
    }

    private Uni<Answer> answerForWinner(String requestId, ClaimRecord winner, RequestCall call) {
        if (winner.attempt().equals(requestId)) {
            return loop.run(requestId, call);
        }
        events.publish(EventType.CLAIM_LOST, requestId, winner.attempt(), "");
        if (winner.owner().equals(identity.runId())) {
            return answers.containsKey(winner.attempt())
                    ? answerRepeat(winner.attempt(), call)
                    : Uni.createFrom().item(Answer.mayHaveRun(Reason.KEY_IN_USE));
        }
        return peers.queryAnswer(winner.owner(), winner.attempt(), Json.write(call))
                .map(RequestRouter::parseReply)
                .onFailure()
                .recoverWithItem(Answer.mayHaveRun(Reason.KEY_IN_USE));
    }

    /**
     * Waits for the first attempt's answer. If the request has not run, it is attempted again, with
     * the suffix {@code r} on the attempt's id.
     */
    private Uni<Answer> answerRepeat(String attempt, RequestCall call) {
        Uni<Answer> first = answers.get(attempt);
        return first.chain(
                result -> {
                    boolean rerun =
                            result.verdict() == Verdict.NOT_RUN && answers.get(attempt) == first;
                    if (!rerun) {
                        return answers.getOrDefault(attempt, first);
                    }
                    return storeAnswer(attempt, loop.run(attempt + "r", call));
                });
    }

    private Uni<Answer> storeAnswer(String attempt, Uni<Answer> answer) {
        Uni<Answer> memoized = answer.memoize().indefinitely();
        answers.put(attempt, memoized);
        if (answers.size() > MAX_STORED_ANSWERS) {
            answers.remove(answers.keySet().iterator().next());
        }
        return memoized;
    }

    private static Answer parseReply(PeerMessage.AnswerReply reply) {
        try {
            return reply.known()
                    ? Json.read(reply.answer(), Answer.class)
                    : Answer.mayHaveRun(Reason.KEY_IN_USE);
        } catch (FormatException e) {
            return Answer.mayHaveRun(Reason.ANSWER_LOST);
        }
    }
}
