package org.dragonflygw.standins.plain;

/**
 * Faults of a plain service that stay on until they are replaced. {@code POST /faults} takes the same fields as JSON;
 * absent ones are off.
 *
 * @param delayMillis time before the service runs a request, in milliseconds
 * @param answerDelayMillis time between running a request and its answer, in milliseconds
 * @param failEvery each nth request runs and is answered with 500; 0 for none
 * @param loseAnswerEvery each nth request runs and its connection is then dropped; 0 for none
 * @param dropBeforeEvery the connection of each nth request is dropped before it runs; 0 for none
 * @param silentEvery each nth request runs and is never answered; its connection stays open; 0 for none
 */
public record PlainFaults(
        long delayMillis,
        long answerDelayMillis,
        int failEvery,
        int loseAnswerEvery,
        int dropBeforeEvery,
        int silentEvery) {
    /** No faults. */
    public static final PlainFaults NONE = new PlainFaults(0, 0, 0, 0, 0, 0);

    /** Only delays before and after running. */
    public static PlainFaults delays(long beforeMillis, long afterMillis) {
        return new PlainFaults(beforeMillis, afterMillis, 0, 0, 0, 0);
    }

    /** Only failures after running. */
    public static PlainFaults failing(int every) {
        return new PlainFaults(0, 0, every, 0, 0, 0);
    }

    /** Only answers lost after running. */
    public static PlainFaults losingAnswers(int every) {
        return new PlainFaults(0, 0, 0, every, 0, 0);
    }

    /** Only connections dropped before running. */
    public static PlainFaults droppingBefore(int every) {
        return new PlainFaults(0, 0, 0, 0, every, 0);
    }

    /** Only answers that never come. */
    public static PlainFaults silent(int every) {
        return new PlainFaults(0, 0, 0, 0, 0, every);
    }
}
