package org.dragonflygw.standins.plain;

/**
 * Faults that {@link PlainServer} injects until they are replaced. {@code POST /faults} takes the same fields as
 * JSON; absent fields are off.
 *
 * @param delayMillis delay before the service executes a request, in milliseconds
 * @param answerDelayMillis delay between the execution of a request and its response, in milliseconds
 * @param failEvery each nth request is executed and answered with 500; 0 for none
 * @param loseAnswerEvery each nth request is executed, then its connection is dropped; 0 for none
 * @param dropBeforeEvery the connection of each nth request is dropped before the execution; 0 for none
 * @param silentEvery each nth request is executed and never answered; its connection stays open; 0 for none
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

    /** Only delays before and after each execution. */
    public static PlainFaults delays(long beforeMillis, long afterMillis) {
        return new PlainFaults(beforeMillis, afterMillis, 0, 0, 0, 0);
    }

    /** Only 500 responses after the execution of each nth request. */
    public static PlainFaults failing(int every) {
        return new PlainFaults(0, 0, every, 0, 0, 0);
    }

    /** Only connections dropped after the execution of each nth request. */
    public static PlainFaults losingAnswers(int every) {
        return new PlainFaults(0, 0, 0, every, 0, 0);
    }

    /** Only connections dropped before the execution of each nth request. */
    public static PlainFaults droppingBefore(int every) {
        return new PlainFaults(0, 0, 0, 0, every, 0);
    }

    /** Only missing responses after the execution of each nth request. */
    public static PlainFaults silent(int every) {
        return new PlainFaults(0, 0, 0, 0, 0, every);
    }
}
