package org.dragonflygw.core.ratelimit;

/** What told that an endpoint is cold. */
public enum ColdSource {
    /** The endpoint's entry in the store. */
    ENTRY("entry"),
    /** The start of an endpoint that appeared while this host was serving. */
    START("start"),
    /** A response of the endpoint. */
    RESPONSE("response"),
    /** Another host. */
    PEER("peer");

    private final String label;

    ColdSource(String label) {
        this.label = label;
    }

    /** Returns the name in log lines. */
    public String label() {
        return label;
    }
}
