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
     * Opens a connection and says who speaks.
     *
     * @param instance the sender's instance, not null
     * @param dataCentre the sender's data centre, not null
     */
    record Hello(String instance, String dataCentre) implements PeerMessage {}

    /**
     * Says that the sender lives, and what it knows.
     *
     * @param instance the sender's instance, not null
     * @param millis the sender's clock: wall part, in milliseconds
     * @param counter the sender's clock: counter part
     * @param configOffset the offset of the sender's configuration
     * @param logReachable whether the sender reaches the platform's log
     * @param leaving whether the sender is about to end
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
     * Hands a repeated request to the owner of its idempotency key, who has the answer or runs it.
     *
     * @param query the query's number on this connection
     * @param attempt the owner's attempt's id, not null
     * @param request the request's JSON text, not null
     */
    record AnswerQuery(long query, String attempt, String request) implements PeerMessage {}

    /**
     * Answers a query.
     *
     * @param query the query's number
     * @param known whether the owner still has the answer
     * @param answer the answer's JSON text, not null, empty if unknown
     */
    record AnswerReply(long query, boolean known, String answer) implements PeerMessage {}

    /**
     * Asks for the receiver's configuration if it is newer than the sender's.
     *
     * @param offset the offset of the sender's configuration
     */
    record FoldQuery(long offset) implements PeerMessage {}

    /**
     * Gives the sender's configuration.
     *
     * @param offset its offset
     * @param snapshot its JSON text, not null
     */
    record FoldReply(long offset, String snapshot) implements PeerMessage {}
}
