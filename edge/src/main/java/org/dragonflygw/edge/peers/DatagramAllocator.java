package org.dragonflygw.edge.peers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;

/**
 * Allocates the buffers for the datagrams of one socket, and remembers when the socket had nothing to read: all later
 * datagrams arrived after that.
 */
final class DatagramAllocator extends DefaultMaxMessagesRecvByteBufAllocator {
    private final int bufferBytes;
    private long emptyNanos = System.nanoTime();

    /**
     * Creates an allocator for a new socket.
     *
     * @param bufferBytes maximum size of a datagram
     * @param maxReads maximum number of datagrams that are read before they are passed on
     */
    DatagramAllocator(int bufferBytes, int maxReads) {
        super(maxReads);
        this.bufferBytes = bufferBytes;
    }

    /** Returns a time on the monotonic clock, in nanoseconds, at which no received datagram was left unread. */
    long emptyNanos() {
        return emptyNanos;
    }

    @Override
    @SuppressWarnings("deprecation") // The library names no other method.
    public Handle newHandle() {
        return new TimedHandle();
    }

    /** A buffer that is allocated and into which nothing is read shows that the socket is empty. */
    private final class TimedHandle extends MaxMessageHandle {
        private boolean reading;
        private long readNanos;

        @Override
        public int guess() {
            return bufferBytes;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator alloc) {
            reading = true;
            readNanos = System.nanoTime(); // Before the read, as the process may be paused after it.
            return super.allocate(alloc);
        }

        @Override
        public void lastBytesRead(int bytes) {
            reading = false;
            super.lastBytesRead(bytes);
        }

        @Override
        public void readComplete() {
            if (reading) {
                emptyNanos = readNanos;
            }
            reading = false;
        }
    }
}
