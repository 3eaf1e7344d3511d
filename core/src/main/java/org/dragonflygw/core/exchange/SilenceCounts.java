package org.dragonflygw.core.exchange;

/** Counts what became of attempts at silent endpoints, over all requests of a process. Not thread-safe. */
public final class SilenceCounts {
    private long replacing;
    private long kept;
    private long wentOn;

    void onReplacing() {
        replacing++;
    }

    void onKept() {
        kept++;
    }

    void onWentOn() {
        wentOn++;
    }

    /** Returns how often another endpoint was asked because one was silent. */
    public long replacing() {
        return replacing;
    }

    /** Returns how often a silent endpoint was awaited because nobody else could take over. */
    public long kept() {
        return kept;
    }

    /** Returns how often a silent endpoint went on before the other endpoint that was asked. */
    public long wentOn() {
        return wentOn;
    }
}
