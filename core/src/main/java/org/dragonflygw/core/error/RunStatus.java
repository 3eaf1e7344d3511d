package org.dragonflygw.core.error;

/** Whether an endpoint ran a request that ended without a complete response. Sent to callers as {@code run}. */
public enum RunStatus {
    /** It is certain that no endpoint ran the request. */
    NOT_RUN("not_run"),
    /** It is certain that an endpoint ran the request. */
    RUN("run"),
    /** An endpoint may have run the request. */
    UNKNOWN("unknown");

    private final String wireName;

    RunStatus(String wireName) {
        this.wireName = wireName;
    }

    /** Value in JSON responses. */
    public String wireName() {
        return wireName;
    }
}
