package org.dragonflygw.core.stream;

import java.time.Instant;

/**
 * Decides whether a stream that lost its connection may be resumed on a new connection to the same engine. Before the
 * first token, a stream may be resumed until the deadline as long as the engine knows the stream, because a long
 * prefill looks the same as a silent connection. After the first token, and after the deadline, only a few resumes in a
 * row are allowed without a new token. Not thread-safe.
 */
public final class ResumePolicy {
    private static final int MAX_RESUMES_WITHOUT_TOKEN = 3;
    private static final int MAX_RESUMES = 64;

    private final Instant deadline;
    private long tokensAtLastResume;
    private int resumes;
    private int resumesWithoutToken;
    private int consecutiveFailures;

    /** Creates the policy of one response whose request has the given deadline. */
    public ResumePolicy(Instant deadline) {
        this.deadline = deadline;
    }

    /** Number of resumes allowed so far. */
    public int resumes() {
        return resumes;
    }

    /**
     * Allows and counts one more resume, or returns false if the stream must be given up.
     *
     * @param tokens number of tokens accepted so far
     * @param now current time
     */
    public boolean tryResume(long tokens, Instant now) {
        if (tokens > tokensAtLastResume) {
            tokensAtLastResume = tokens;
            resumesWithoutToken = 0;
        }
        boolean prefilling = tokens == 0 && now.isBefore(deadline);
        boolean noProgress = !prefilling && resumesWithoutToken >= MAX_RESUMES_WITHOUT_TOKEN;
        if (noProgress || resumes >= MAX_RESUMES || consecutiveFailures >= MAX_RESUMES_WITHOUT_TOKEN) {
            return false;
        }
        resumes++;
        resumesWithoutToken++;
        consecutiveFailures++;
        return true;
    }

    /** Called when the engine accepted the resume. */
    public void onResumed() {
        consecutiveFailures = 0;
    }
}
