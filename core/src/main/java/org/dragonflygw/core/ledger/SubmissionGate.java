package org.dragonflygw.core.ledger;

import org.dragonflygw.core.request.RequestContext;

/** Lets each non-idempotent submission run at most once. Safe from every thread. */
public interface SubmissionGate {
    /**
     * Claims a submission by its team and idempotency key before it is dispatched. Blocks while another owner of the
     * same key runs it, up to the deadline of the request.
     *
     * @param request a non-idempotent request with a key
     */
    ClaimResult claim(RequestContext request);
}
