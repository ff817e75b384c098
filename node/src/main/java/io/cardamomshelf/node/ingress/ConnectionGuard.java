package io.cardamomshelf.node.ingress;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.net.InetSocketAddress;

/**
 * Watches one HTTP connection, stops reading it while its client doesn't read, and closes it when
 * it exceeds a limit.
 *
 * <p>It stands in Netty's pipeline on both sides of the HTTP codec, since Vert.x shows neither the
 * first byte of a request nor pipelined requests or unread bytes.
 *
 * <p>Not thread-safe: belongs to the connection's event loop.
 */
final class ConnectionGuard implements ByteBudget.Holder {

    private static final AttributeKey<ConnectionGuard> KEY =
            AttributeKey.valueOf(ConnectionGuard.class, "guard");

    /** The name that Vert.x gives to its last handler, behind the codec. */
    private static final String LAST_HANDLER = "handler";

    private static final int MIN_READ_BYTES = 256;
    private static final int INITIAL_READ_BYTES = 1_024;

    /**
     * The most that is read at a time, in bytes: pipelined requests of one read are all decoded,
     * and fewer than the limit of ordinary ones fit.
     */
    private static final int MAX_READ_BYTES = 8_192;

    /** Beyond this number of unread bytes no more requests are read. */
    private static final long MAX_UNREAD_BYTES = 65_536;

    /** What a waiting request takes in memory, in bytes: measured at 1 to 2 KB with few fields. */
    private static final long WAITING_REQUEST_BYTES = 2_048;

    /**
     * The time over which a rate is measured, in milliseconds. A client that sends a lost packet
     * three times needs less.
     */
    private static final long RATE_WINDOW_MILLIS = 3_000;

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Channel channel;
    private final CallerBudget budget;
    private final ConnectionRegistry registry;
    private final String address;
    private final RateWindow received = new RateWindow();
    private final RateWindow sent = new RateWindow();
    private long requestStartMillis;
    private boolean readingHead;
    private boolean readingBody;
    private int unanswered;
    private long writtenBytes;
    private boolean stopped;
    private boolean closed;

    /** Measures whether bytes flow at a minimum rate. */
    private static final class RateWindow {
        private long startMillis;
        private long startBytes;
        private long bytes;

        void restart(long nowMillis) {
            startMillis = nowMillis;
            startBytes = bytes;
        }

        /** Returns whether a whole window has passed with fewer bytes than the rate demands. */
        boolean isTooSlow(long nowMillis, long bytesPerSecond) {
            long elapsedMillis = nowMillis - startMillis;
            if (elapsedMillis < RATE_WINDOW_MILLIS) {
                return false;
            }
            boolean isTooSlow =
                    (bytes - startBytes) * MILLIS_PER_SECOND < bytesPerSecond * elapsedMillis;
            restart(nowMillis);
            return isTooSlow;
        }
    }

    /** Sees the bytes of the connection. */
    private final class Bytes extends ChannelDuplexHandler {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                bytesRead(bytes.readableBytes());
            }
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                writtenBytes += bytes.readableBytes();
            }
            context.write(message, promise);
        }

        @Override
        public void flush(ChannelHandlerContext context) {
            context.flush();
            queueChanged();
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            queueChanged();
            context.fireChannelWritabilityChanged();
        }
    }

    /** Sees the requests and responses of the connection. */
    private final class Messages extends ChannelDuplexHandler {

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof HttpRequest) {
                headRead();
            }
            if (closed) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (message instanceof LastHttpContent) {
                requestRead();
            }
            context.fireChannelRead(message);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof LastHttpContent) {
                answered();
            }
            context.write(message, promise);
        }
    }

    private ConnectionGuard(Channel channel, CallerBudget budget, ConnectionRegistry registry) {
        this.channel = channel;
        this.budget = budget;
        this.registry = registry;
        this.address = addressOf(channel);
        this.requestStartMillis = nowMillis();
    }

    /** Watches a connection that has just been opened. */
    static void install(
            HttpConnection connection, CallerBudget budget, ConnectionRegistry registry) {
        Channel channel = ((ConnectionBase) connection).channel();
        ConnectionGuard guard = new ConnectionGuard(channel, budget, registry);
        AcceptLimiter.install(channel, registry.limit(), budget::countRefusedConnection);
        if (!registry.add(guard, channel.eventLoop())) {
            guard.closed = true;
            channel.close();
            return;
        }
        channel.config().setRecvByteBufAllocator(readSizes());
        channel.attr(KEY).set(guard);
        channel.pipeline().addFirst(guard.new Bytes());
        channel.pipeline().addBefore(LAST_HANDLER, null, guard.new Messages());
        channel.closeFuture().addListener(done -> guard.ended());
    }

    /** Finds the guard of a connection. */
    static ConnectionGuard of(HttpConnection connection) {
        return ((ConnectionBase) connection).channel().attr(KEY).get();
    }

    String address() {
        return address;
    }

    /** Returns whether the connection may be closed in favour of a new one. */
    boolean isReplaceable(long nowMillis) {
        return !readingBody || nowMillis - requestStartMillis >= ByteBudget.SLOW_MILLIS;
    }

    /** Reads nothing more of a connection that will be closed. */
    void stopReading() {
        stopped = true;
        queueChanged();
    }

    /** Closes the connection, and counts the limit that it or a newer connection exceeded. */
    void close(CallerLimit limit) {
        if (!closed) {
            budget.reporter().exceeded(limit);
            ended();
            channel.close();
        }
    }

    @Override
    public void evict() {
        close(CallerLimit.QUEUED_BYTES);
    }

    /** Closes the connection if it is too slow. */
    void check(long nowMillis) {
        if (readingHead
                && !readingBody
                && nowMillis - requestStartMillis > budget.limits().headMillis()) {
            close(CallerLimit.HEAD_TIME);
            return;
        }
        long bytesPerSecond = budget.limits().bytesPerSecond();
        if (!readingBody || !channel.config().isAutoRead()) {
            received.restart(nowMillis);
        } else if (received.isTooSlow(nowMillis, bytesPerSecond)) {
            close(CallerLimit.RATE);
            return;
        }
        long unreadBytes = unreadBytes();
        sent.bytes = writtenBytes - unreadBytes;
        if (unreadBytes == 0) {
            sent.restart(nowMillis);
        } else if (sent.isTooSlow(nowMillis, bytesPerSecond)) {
            close(CallerLimit.RATE);
        }
    }

    private void bytesRead(int number) {
        received.bytes += number;
        if (!readingHead && !readingBody) {
            readingHead = true;
            requestStartMillis = nowMillis();
            registry.requestBegan(this);
        }
    }

    private void headRead() {
        readingHead = false;
        readingBody = true;
        received.restart(nowMillis());
        unanswered++;
        if (unanswered > budget.limits().pipelinedRequests()) {
            close(CallerLimit.PIPELINE);
        } else {
            queueChanged();
        }
    }

    private void requestRead() {
        readingBody = false;
        if (unanswered > 0) {
            registry.requestReceived(this);
        } else {
            registry.becameIdle(this);
        }
    }

    private void answered() {
        unanswered = Math.max(0, unanswered - 1);
        if (unanswered == 0 && !readingBody) {
            registry.becameIdle(this);
        }
    }

    /** Accounts for what waits on this connection, and reads on only if little does. */
    private void queueChanged() {
        if (closed) {
            return;
        }
        long unreadBytes = unreadBytes();
        long waitingBytes = Math.max(0, unanswered - 1) * WAITING_REQUEST_BYTES;
        if (!budget.queued().hold(this, unreadBytes + waitingBytes)) {
            close(CallerLimit.QUEUED_BYTES);
            return;
        }
        boolean mayRead = !stopped && unanswered <= 1 && unreadBytes <= MAX_UNREAD_BYTES;
        if (channel.config().isAutoRead() != mayRead) {
            channel.config().setAutoRead(mayRead);
        }
    }

    private long unreadBytes() {
        ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes();
    }

    private void ended() {
        closed = true;
        registry.remove(this);
        budget.queued().release(this);
    }

    private long nowMillis() {
        return budget.clock().monotonicMillis();
    }

    /**
     * Reads once per round of the event loop: hundreds of connections that send at full speed would
     * otherwise hold up the calls to the store for seconds.
     */
    private static RecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(1);
    }

    private static String addressOf(Channel channel) {
        return channel.remoteAddress() instanceof InetSocketAddress address
                ? address.getAddress().getHostAddress()
                : "";
    }
}
