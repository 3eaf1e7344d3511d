package org.dragonflygw.standins.engine;

/**
 * Faults that {@link EngineServer} injects until they are replaced. {@code POST /faults} takes the same fields as
 * JSON; absent fields are off.
 *
 * @param crashMarker a request whose body contains this text crashes the engine; empty or null for none
 * @param restartMillis time from a crash until the engine accepts requests again, in milliseconds; 0 for
 *     {@link #DEFAULT_RESTART_MILLIS}
 * @param silenceEvery the connection of each nth new request goes silent permanently; 0 for none
 * @param silenceAfterTokens tokens sent before the connection goes silent
 * @param crossEvery each nth chunk is replaced by a chunk of another request; 0 for none
 * @param duplicateEvery each nth chunk is sent twice; 0 for none
 * @param lateMillis delay before the start of each new response, in milliseconds
 * @param flapDownMillis time that the port is closed in each period of flapping, in milliseconds; 0 for no flapping
 * @param flapUpMillis time that the port is open in each period, in milliseconds
 */
public record EngineFaults(
        String crashMarker,
        long restartMillis,
        int silenceEvery,
        int silenceAfterTokens,
        int crossEvery,
        int duplicateEvery,
        long lateMillis,
        long flapDownMillis,
        long flapUpMillis) {
    /** Restart time when a fault does not set one. */
    public static final long DEFAULT_RESTART_MILLIS = 1000;

    /** No faults. */
    public static final EngineFaults NONE = new EngineFaults("", 0, 0, 0, 0, 0, 0, 0, 0);

    public EngineFaults {
        crashMarker = crashMarker == null ? "" : crashMarker;
        restartMillis = restartMillis == 0 ? DEFAULT_RESTART_MILLIS : restartMillis;
    }

    /** Only a crash on a request that contains the marker. */
    public static EngineFaults crashOn(String marker, long restartMillis) {
        return new EngineFaults(marker, restartMillis, 0, 0, 0, 0, 0, 0, 0);
    }

    /** Only silence: the connection of each nth new request goes silent after the given number of tokens. */
    public static EngineFaults silence(int every, int afterTokens) {
        return new EngineFaults("", 0, every, afterTokens, 0, 0, 0, 0, 0);
    }

    /** Only crossed chunks: each nth chunk is replaced by a chunk of another request. */
    public static EngineFaults crossed(int every) {
        return new EngineFaults("", 0, 0, 0, every, 0, 0, 0, 0);
    }

    /** Only duplicated chunks: each nth chunk is sent twice. */
    public static EngineFaults duplicated(int every) {
        return new EngineFaults("", 0, 0, 0, 0, every, 0, 0, 0);
    }

    /** Only late responses, delayed by the given time. */
    public static EngineFaults late(long millis) {
        return new EngineFaults("", 0, 0, 0, 0, 0, millis, 0, 0);
    }

    /** Only flapping: the port is closed and reopened periodically. */
    public static EngineFaults flapping(long downMillis, long upMillis) {
        return new EngineFaults("", 0, 0, 0, 0, 0, 0, downMillis, upMillis);
    }

    boolean crashesOn(String body) {
        return !crashMarker.isEmpty() && body.contains(crashMarker);
    }

    boolean flaps() {
        return flapDownMillis > 0;
    }
}
