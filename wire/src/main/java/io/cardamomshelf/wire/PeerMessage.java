package io.cardamomshelf.wire;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * A message between two entry instances.
 *
 * <p>Immutable and thread-safe, as all its kinds are.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PeerMessage.Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = PeerMessage.Heartbeat.class, name = "beat"),
    @JsonSubTypes.Type(value = PeerMessage.AnswerQuery.class, name = "ask"),
    @JsonSubTypes.Type(value = PeerMessage.AnswerReply.class, name = "answer"),
    @JsonSubTypes.Type(value = PeerMessage.FoldQuery.class, name = "fold?"),
    @JsonSubTypes.Type(value = PeerMessage.FoldReply.class, name = "fold")
})
public sealed interface PeerMessage {

    /**
     * The first message on a connection, which identifies the sender.
     *
     * @param instance the sender's instance, not null
     * @param dataCentre the sender's data centre, not null
     */
    record Hello(String instance, String dataCentre) implements PeerMessage {}

    /**
     * Reports that the sender is alive, and its state.
     *
     * @param instance the sender's instance, not null
     * @param millis the wall time of the sender's hybrid logical clock, in milliseconds
     * @param counter the counter of the sender's hybrid logical clock
     * @param configOffset the offset of the sender's configuration
     * @param logReachable whether the platform's log is reachable for the sender
     * @param leaving whether the sender is shutting down
     */
    record Heartbeat(
            String instance,
            long millis,
            int counter,
            long configOffset,
            boolean logReachable,
            boolean leaving)
            implements PeerMessage {}

    /**
     * Asks the owner of a request's idempotency key for the answer to a repeated request. The owner
     * has the answer or runs the request.
     *
     * @param query the query's number on this connection
     * @param attempt the id of the owner's attempt, not null
     * @param request the request's JSON text, not null
     */
    record AnswerQuery(long query, String attempt, String request) implements PeerMessage {}

    /**
     * The reply to an {@link AnswerQuery}.
     *
     * @param query the query's number
     * @param known whether the owner still has the answer
     * @param answer the answer's JSON text, not null, empty if unknown
     */
    record AnswerReply(long query, boolean known, String answer) implements PeerMessage {}

    /**
     * Asks for the receiver's configuration if that is newer than the sender's.
     *
     * @param offset the offset of the sender's configuration
     */
    record FoldQuery(long offset) implements PeerMessage {}

    /**
     * The reply to a {@link FoldQuery}, with the sender's configuration.
     *
     * @param offset the offset of the configuration
     * @param snapshot the JSON text of the configuration, not null
     */
    record FoldReply(long offset, String snapshot) implements PeerMessage {}
}
