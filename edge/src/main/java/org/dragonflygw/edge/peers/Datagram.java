package org.dragonflygw.edge.peers;

import java.net.InetSocketAddress;

/**
 * A message of another host.
 *
 * @param content the bytes
 * @param sender address of the sender's socket
 * @param arrivedAfterNanos time on the monotonic clock, in nanoseconds, at which the message had not arrived yet
 * @param waited whether the message may have waited in the socket while this process was paused
 */
@SuppressWarnings("ArrayRecordComponent") // Datagrams are not compared.
public record Datagram(byte[] content, InetSocketAddress sender, long arrivedAfterNanos, boolean waited) {}
