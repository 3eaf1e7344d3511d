package org.dragonflygw.standins.platform;

/**
 * Faults that {@link PlatformServer} injects until they are replaced. {@code POST /faults} takes the same fields as
 * JSON; absent fields are off. The faults apply to the table service, the object store and the weight store. Only
 * the two {@code hostList} fields apply to the host list.
 *
 * @param outage every call is answered with 503 and has no effect
 * @param silent no call is answered or has an effect; connections stay open
 * @param slowMillis time added before each call takes effect, in milliseconds
 * @param answerDelayMillis time added between the effect of a call and its answer, in milliseconds
 * @param loseAnswerEvery each nth write takes effect and its connection is then dropped; 0 for none
 * @param loseAnswerProbability a write takes effect and its connection is dropped with this probability
 * @param loseRequestEvery the connection of each nth write is dropped before it takes effect; 0 for none
 * @param seed seed of the random choice of lost responses
 * @param staleReads reads, scans and objects are answered from a snapshot taken when this was switched on
 * @param hostListOutage the host list is answered with 503
 * @param hostListFrozen the host list stays as it was when this was switched on
 */
public record PlatformFaults(
        boolean outage,
        boolean silent,
        long slowMillis,
        long answerDelayMillis,
        int loseAnswerEvery,
        double loseAnswerProbability,
        int loseRequestEvery,
        long seed,
        boolean staleReads,
        boolean hostListOutage,
        boolean hostListFrozen) {
    /** No faults. */
    public static final PlatformFaults NONE = new PlatformFaults(false, false, 0, 0, 0, 0, 0, 0, false, false, false);

    /** Only an outage of the stores. */
    public static PlatformFaults storeOutage() {
        return new PlatformFaults(true, false, 0, 0, 0, 0, 0, 0, false, false, false);
    }

    /** Only an outage of the stores and the host list. */
    public static PlatformFaults totalOutage() {
        return new PlatformFaults(true, false, 0, 0, 0, 0, 0, 0, false, true, false);
    }

    /** Only calls that are never answered. */
    public static PlatformFaults silence() {
        return new PlatformFaults(false, true, 0, 0, 0, 0, 0, 0, false, false, false);
    }

    /** Only a delay before each call takes effect, in milliseconds. */
    public static PlatformFaults slow(long millis) {
        return new PlatformFaults(false, false, millis, 0, 0, 0, 0, 0, false, false, false);
    }

    /** Only a delay between the effect of each call and its response, in milliseconds. */
    public static PlatformFaults slowAnswers(long millis) {
        return new PlatformFaults(false, false, 0, millis, 0, 0, 0, 0, false, false, false);
    }

    /** Only lost responses: each nth write takes effect, then its connection is dropped. */
    public static PlatformFaults losingAnswers(int every) {
        return new PlatformFaults(false, false, 0, 0, every, 0, 0, 0, false, false, false);
    }

    /** Only responses lost at random, with the given probability, after the write took effect. */
    public static PlatformFaults losingAnswers(double probability, long seed) {
        return new PlatformFaults(false, false, 0, 0, 0, probability, 0, seed, false, false, false);
    }

    /** Only lost requests: the connection of each nth write is dropped before the write takes effect. */
    public static PlatformFaults losingRequests(int every) {
        return new PlatformFaults(false, false, 0, 0, 0, 0, every, 0, false, false, false);
    }

    /** Only stale reads, from a snapshot taken when the fault is set. */
    public static PlatformFaults stale() {
        return new PlatformFaults(false, false, 0, 0, 0, 0, 0, 0, true, false, false);
    }

    /** Only a host list that stays as it is when the fault is set. */
    public static PlatformFaults frozenHostList() {
        return new PlatformFaults(false, false, 0, 0, 0, 0, 0, 0, false, false, true);
    }
}
