package org.dragonflygw.bench.history;

/** What must always hold. */
public enum Promise {
    /** A non-idempotent submission runs at most once. */
    AT_MOST_ONCE,
    /** What an answer says of the run is true, now and later. */
    RUN_STATUS_HONEST,
    /** Each answer that says it is whole is whole. */
    ANSWER_WHOLE,
    /** Each token belongs to the request of its caller, in order and once. */
    ANSWER_OWN,
    /** A request that was taken ends once, by an answer or an error; an answer comes from a run. */
    NOTHING_LOST,
    /** A router never puts an older configuration in force. */
    CONFIGURATION_FORWARD,
    /** An endpoint that is leaving gets no new work after the limit. */
    LEAVING_UNTOUCHED
}
