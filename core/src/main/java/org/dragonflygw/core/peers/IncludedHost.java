package org.dragonflygw.core.peers;

/**
 * A host whose load is part of a sum.
 *
 * @param host short hash of the host's name
 * @param sequence low bits of the number of the {@link HostLoad} that is part of the sum
 */
public record IncludedHost(int host, int sequence) {
    /** Mask of the bits that a sum states; a message holds them in two bytes. */
    private static final long SEQUENCE_MASK = (1 << 13) - 1;

    /** Returns the low bits of the number of a load. */
    public static int lowBits(long sequence) {
        return (int) (sequence & SEQUENCE_MASK);
    }
}
