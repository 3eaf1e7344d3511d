package org.dragonflygw.bench.history;

/** An invariant that must hold in every history, whatever faults occur. */
public enum Promise {
    /** A non-idempotent submission runs at most once. */
    AT_MOST_ONCE,
    /** The run status in an answer is true and stays true: no run follows an answer that says {@code not_run}. */
    RUN_STATUS_HONEST,
    /** An answer marked as complete contains every expected token. */
    ANSWER_WHOLE,
    /** A caller receives only the tokens of its own request, in order and each once. */
    ANSWER_OWN,
    /** An accepted request ends exactly once, with an answer or an error; every answer comes from a run. */
    NOTHING_LOST,
    /** A router never activates a version of the configuration older than its active one. */
    CONFIGURATION_FORWARD,
    /** A draining endpoint gets no new request after the time limit. */
    LEAVING_UNTOUCHED
}
