package org.dragonflygw.core.stream;

import java.time.Instant;

/**
 * Decides whether a stream that lost its connection may be resumed on a new one at the same engine. Before the first
 * token a stream may be resumed until the deadline as long as the engine knows it, because a long prefill looks like
 * silence; after that, and after the deadline, only a few resumes may pass without a new token. For one thread.
 */
public final class ResumePolicy {
    private static final int MAX_RESUMES_WITHOUT_TOKEN = 3;
    private static final int MAX_RESUMES = 64;

    private final Instant deadline;
    private long tokensAtLastResume;
    private int resumes;
    private int resumesWithoutToken;
    private int failedInARow;

    /** Creates the policy of one answer. */
    public ResumePolicy(Instant deadline) {
        this.deadline = deadline;
    }

    /** Number of resumes allowed so far. */
    public int resumes() {
        return resumes;
    }

    /**
     * Asks for one more resume.
     *
     * @param tokens tokens accepted so far
     * @param now the time
     */
    public boolean tryResume(long tokens, Instant now) {
        if (tokens > tokensAtLastResume) {
            tokensAtLastResume = tokens;
            resumesWithoutToken = 0;
        }
        boolean prefilling = tokens == 0 && now.isBefore(deadline);
        boolean noProgress = !prefilling && resumesWithoutToken >= MAX_RESUMES_WITHOUT_TOKEN;
        if (noProgress || resumes >= MAX_RESUMES || failedInARow >= MAX_RESUMES_WITHOUT_TOKEN) {
            return false;
        }
        resumes++;
        resumesWithoutToken++;
        failedInARow++;
        return true;
    }

    /** Tells that the engine took the resume. */
    public void onResumed() {
        failedInARow = 0;
    }
}
