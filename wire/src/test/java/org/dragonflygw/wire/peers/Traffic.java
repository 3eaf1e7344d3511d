package org.dragonflygw.wire.peers;

/** Datagrams and bytes of a host, with the headers of UDP and IP. */
final class Traffic {
    private static final int HEADER_BYTES = 28;

    long sentBytes;
    long receivedBytes;
    long sent;
    long received;

    void onSent(int bytes) {
        sent++;
        sentBytes += bytes + HEADER_BYTES;
    }

    void onReceived(int bytes) {
        received++;
        receivedBytes += bytes + HEADER_BYTES;
    }

    void clear() {
        sentBytes = 0;
        receivedBytes = 0;
        sent = 0;
        received = 0;
    }
}
