package org.dragonflygw.core.dispatch;

/** Classes of candidates; one of a later class is chosen only if there is none of the earlier ones, whatever the costs. */
public enum Preference {
    /** Below the load bound. */
    PREFERRED,
    /** Below the load bound, but the request should avoid it. */
    AVOIDED,
    /** Below the load bound, but its response is expected too late; the request is then rejected. */
    TOO_LATE,
    /** Above the load bound, or connections to it fail. */
    LAST_RESORT;

    boolean isAbove(Preference other) {
        return compareTo(other) < 0;
    }
}
