package org.dragonflygw.core.exchange;

import java.util.OptionalInt;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * How long a host sends nothing to a brittle endpoint that had no room for a request: so long that the hosts of the fleet,
 * each of which may try again only afterwards, stay together below what the endpoint bears.
 */
public final class RejectionPauses {
    private static final long MIN_MS = 1_000;

    /** Longest mean pause; with longer ones a host would refuse callers long after room is free. */
    private static final double MAX_MEAN_MS = 10_000;

    /** Share of the rejections that an endpoint bears that all hosts together may cause. */
    private static final double USED_SHARE = 0.5;

    /** Rejections in a second that an endpoint is taken to bear if it says that it bears none. */
    private static final double MIN_BORNE = 0.5;

    private static final double MS_PER_S = 1_000;

    private final Supplier<OptionalInt> hosts;
    private final RandomGenerator random;

    /**
     * Creates pauses.
     *
     * @param hosts number of hosts in the fleet, empty while it is unknown
     */
    public RejectionPauses(Supplier<OptionalInt> hosts, RandomGenerator random) {
        this.hosts = hosts;
        this.random = random;
    }

    /** Creates the pauses of a fleet of one host. */
    static RejectionPauses ofOneHost() {
        return new RejectionPauses(() -> OptionalInt.of(1), new SplittableRandom(0));
    }

    /**
     * Returns the time without requests after a rejection, in milliseconds.
     *
     * @param perSecond rejections in a second that the endpoint bears
     */
    long pauseMs(int perSecond) {
        OptionalInt count = hosts.get();
        double borne = USED_SHARE * Math.max(MIN_BORNE, perSecond);
        double meanMs = count.isPresent() ? Math.min(MAX_MEAN_MS, count.getAsInt() / borne * MS_PER_S) : MAX_MEAN_MS;
        return MIN_MS + (long) (meanMs * (0.5 + random.nextDouble()));
    }
}
