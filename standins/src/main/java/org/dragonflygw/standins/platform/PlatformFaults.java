package org.dragonflygw.standins.platform;

/**
 * Faults of the platform that stay on until they are replaced. {@code POST /faults} takes the same fields as JSON;
 * absent ones are off. They hit the table service, the object store and the weight store, and the host list only
 * where said.
 *
 * @param outage every call is answered with 503 and does nothing
 * @param silent no call is answered and none does anything; connections stay open
 * @param slowMillis time added before each call takes effect, in milliseconds
 * @param answerDelayMillis time added between the effect of a call and its answer, in milliseconds
 * @param loseAnswerEvery each nth write takes effect and its connection is then dropped; 0 for none
 * @param loseAnswerProbability a write takes effect and its connection is dropped with this probability
 * @param loseRequestEvery the connection of each nth write is dropped before it takes effect; 0 for none
 * @param seed seed of the random choices
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

    /** Only silence. */
    public static PlatformFaults silence() {
        return new PlatformFaults(false, true, 0, 0, 0, 0, 0, 0, false, false, false);
    }

    /** Only slowness before each effect. */
    public static PlatformFaults slow(long millis) {
        return new PlatformFaults(false, false, millis, 0, 0, 0, 0, 0, false, false, false);
    }

    /** Only slow answers after each effect. */
    public static PlatformFaults slowAnswers(long millis) {
        return new PlatformFaults(false, false, 0, millis, 0, 0, 0, 0, false, false, false);
    }

    /** Only answers lost after each nth write took effect. */
    public static PlatformFaults losingAnswers(int every) {
        return new PlatformFaults(false, false, 0, 0, every, 0, 0, 0, false, false, false);
    }

    /** Only answers lost at random after the write took effect. */
    public static PlatformFaults losingAnswers(double probability, long seed) {
        return new PlatformFaults(false, false, 0, 0, 0, probability, 0, seed, false, false, false);
    }

    /** Only writes lost before they take effect. */
    public static PlatformFaults losingRequests(int every) {
        return new PlatformFaults(false, false, 0, 0, 0, 0, every, 0, false, false, false);
    }

    /** Only reads from an old snapshot. */
    public static PlatformFaults stale() {
        return new PlatformFaults(false, false, 0, 0, 0, 0, 0, 0, true, false, false);
    }

    /** Only a host list that does not change any more. */
    public static PlatformFaults frozenHostList() {
        return new PlatformFaults(false, false, 0, 0, 0, 0, 0, 0, false, false, true);
    }
}
