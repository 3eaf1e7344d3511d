package org.dragonflygw.core.dispatch;

/**
 * What one attempt shows of the speed of its endpoint, from its sending to its end. Failed attempts show nothing. Not
 * thread-safe.
 */
public final class SpeedSample {
    private static final double NANOS_PER_MS = 1e6;

    private final EndpointLoadState endpoint;
    private final boolean readsPrompt;
    private final double unreadTokens;
    private final double load;
    private final long sentNanos;

    /**
     * Creates a sample for a request that was just sent.
     *
     * @param readsPrompt whether the endpoint reads the uncached part of the prompt before the first part of its response,
     *     and nothing else; false for plain services, resumed streams and prompts that are fetched
     */
    public SpeedSample(EndpointLoadState endpoint, boolean readsPrompt, long nowNanos) {
        this.endpoint = endpoint;
        this.readsPrompt = readsPrompt;
        this.unreadTokens = endpoint.estimatedUnreadTokens(nowNanos);
        this.load = endpoint.load(nowNanos);
        this.sentNanos = nowNanos;
    }

    /** Called when the first part of a successful response was read. */
    public void onFirstPart(long nowNanos) {
        LoadReport report = endpoint.reportSince(sentNanos);
        boolean queued = report.waiting() > 0 && report.running() >= report.slots();
        if (readsPrompt && !queued) {
            double running = report.running() > 0 ? report.running() : load;
            endpoint.speeds().onFirstToken(elapsedMs(nowNanos), unreadTokens, running, nowNanos);
        }
    }

    /**
     * Called when a successful response was complete.
     *
     * @param plain whether the endpoint is of a plain service
     */
    public void onComplete(boolean plain, long nowNanos) {
        endpoint.onRequestTime(nowNanos - sentNanos);
        if (plain) {
            LoadReport report = endpoint.reportSince(sentNanos);
            int slots = Math.max(1, endpoint.entry().slots());
            endpoint.speeds().onPlainRequest(elapsedMs(nowNanos), report.waiting() / (double) slots, nowNanos);
        }
    }

    private double elapsedMs(long nowNanos) {
        return (nowNanos - sentNanos) / NANOS_PER_MS;
    }
}
