package org.dragonflygw.core.error;

/** Whether a request that ended without a whole answer was run by an endpoint. Sent to callers as {@code run}. */
public enum RunStatus {
    /** Certain that no endpoint ran it. */
    NOT_RUN("not_run"),
    /** Certain that an endpoint ran it. */
    RUN("run"),
    /** An endpoint may have run it. */
    UNKNOWN("unknown");

    private final String wireName;

    RunStatus(String wireName) {
        this.wireName = wireName;
    }

    /** Name in JSON answers. */
    public String wireName() {
        return wireName;
    }
}
