package io.cardamomshelf.sessions;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Many connections to one port that each send the same bytes, read nothing and stay open.
 *
 * <p>Use: {@code try (HostileCrowd crowd = HostileCrowd.start(port, 300, payload)) {
 * crowd.awaitSent(); }}. Connections that the service refuses or closes aren't opened again.
 *
 * <p>Limits: one thread. Thread-safe.
 */
final class HostileCrowd implements AutoCloseable {

    /** A part of the payload, of which any number follow one another. */
    record Payload(byte[] head, byte[] repeated, int repetitions) {

        int length() {
            return head.length + repeated.length * repetitions;
        }

        private byte byteAt(int position) {
            return position < head.length
                    ? head[position]
                    : repeated[(position - head.length) % repeated.length];
        }
    }

    private static final int WRITE_BYTES = 16_384;
    private static final long SELECT_MILLIS = 50;

    /** Without progress for this time the service reads no more of any connection. */
    private static final long QUIET_MILLIS = 500;

    /** The longest that a crowd sends, so that a test is bounded. */
    private static final long MAX_SEND_MILLIS = 5_000;

    /** The number of bytes that one connection has sent. */
    private static final class Sent {
        private int bytes;
    }

    private final Selector selector;
    private final Payload payload;
    private final int bytesPerWrite;
    private final long writeIntervalMillis;
    private final Thread thread = new Thread(this::run, "hostile-crowd");
    private final AtomicLong lastProgressNanos = new AtomicLong(System.nanoTime());
    private final AtomicInteger unfinished;
    private volatile boolean closed;

    private HostileCrowd(
            Selector selector, int size, Payload payload, int bytesPerWrite, long intervalMillis) {
        this.selector = selector;
        this.payload = payload;
        this.bytesPerWrite = bytesPerWrite;
        this.writeIntervalMillis = intervalMillis;
        this.unfinished = new AtomicInteger(size);
    }

    /** Starts a crowd that sends as fast as the service reads. */
    static HostileCrowd start(int port, int size, Payload payload) throws IOException {
        return start(port, size, payload, WRITE_BYTES, 0);
    }

    /** Starts a crowd each connection of which sends one byte at a time. */
    static HostileCrowd startTrickling(int port, int size, Payload payload, long intervalMillis)
            throws IOException {
        return start(port, size, payload, 1, intervalMillis);
    }

    private static HostileCrowd start(
            int port, int size, Payload payload, int bytesPerWrite, long intervalMillis)
            throws IOException {
        Selector selector = Selector.open();
        HostileCrowd crowd =
                new HostileCrowd(selector, size, payload, bytesPerWrite, intervalMillis);
        for (int i = 0; i < size; i++) {
            SocketChannel channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.register(selector, SelectionKey.OP_CONNECT, new Sent());
            channel.connect(new InetSocketAddress("127.0.0.1", port));
        }
        crowd.thread.setDaemon(true);
        crowd.thread.start();
        return crowd;
    }

    /** Waits until each connection has sent all or was closed, or none makes progress. */
    void awaitSent() throws InterruptedException {
        long start = System.nanoTime();
        while (unfinished.get() > 0
                && millisSince(lastProgressNanos.get()) < QUIET_MILLIS
                && millisSince(start) < MAX_SEND_MILLIS) {
            Thread.sleep(SELECT_MILLIS);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private void run() {
        ByteBuffer buffer = ByteBuffer.allocate(WRITE_BYTES);
        try {
            while (!closed) {
                selector.select(key -> advance(key, buffer), SELECT_MILLIS);
                if (writeIntervalMillis > 0) {
                    Thread.sleep(writeIntervalMillis);
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("the crowd can't select: " + e, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void advance(SelectionKey key, ByteBuffer buffer) {
        SocketChannel channel = (SocketChannel) key.channel();
        try {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_WRITE);
            } else if (key.isWritable()) {
                write(key, channel, buffer);
            }
        } catch (IOException e) {
            // The service has closed the connection, which it may.
            key.cancel();
            unfinished.decrementAndGet();
        }
    }

    private void write(SelectionKey key, SocketChannel channel, ByteBuffer buffer)
            throws IOException {
        Sent sent = (Sent) key.attachment();
        buffer.clear();
        int length = Math.min(bytesPerWrite, payload.length() - sent.bytes);
        for (int i = 0; i < length; i++) {
            buffer.put(payload.byteAt(sent.bytes + i));
        }
        buffer.flip();
        int written = channel.write(buffer);
        if (written > 0) {
            lastProgressNanos.set(System.nanoTime());
        }
        sent.bytes += written;
        if (sent.bytes == payload.length()) {
            key.interestOps(0);
            unfinished.decrementAndGet();
        }
    }
}
