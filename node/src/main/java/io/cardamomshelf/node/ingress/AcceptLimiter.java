package io.cardamomshelf.node.ingress;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Closes new connections on the thread that accepts them, once there are more than the event loop
 * could close in favour of newer ones. Otherwise a burst of connections is accepted faster than the
 * event loop looks at them, and uses up the process's descriptors.
 *
 * <p>Vert.x doesn't show its listening channel, so the first connection installs the limiter.
 *
 * <p>Not thread-safe: belongs to the thread that accepts.
 */
final class AcceptLimiter extends ChannelInboundHandlerAdapter {

    private static final String NAME = "accept-limiter";

    /** Connections that may wait to replace others, as a fraction of the limit. */
    private static final int WAITING_FRACTION = 4;

    private final int max;
    private final Runnable refused;
    private final AtomicInteger open = new AtomicInteger();

    private AcceptLimiter(int max, Runnable refused) {
        this.max = max;
        this.refused = refused;
    }

    /** Installs a limiter for the server of a connection unless there is one. */
    static void install(Channel connection, int connections, Runnable refused) {
        ChannelPipeline pipeline = connection.parent().pipeline();
        if (pipeline.get(NAME) == null) {
            int max = connections + Math.max(1, connections / WAITING_FRACTION);
            pipeline.addFirst(NAME, new AcceptLimiter(max, refused));
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Channel connection) {
            if (open.incrementAndGet() > max) {
                open.decrementAndGet();
                connection.unsafe().closeForcibly();
                refused.run();
                return;
            }
            connection.closeFuture().addListener(done -> open.decrementAndGet());
        }
        context.fireChannelRead(message);
    }
}
