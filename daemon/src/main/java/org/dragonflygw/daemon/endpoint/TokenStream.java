package org.dragonflygw.daemon.endpoint;

import java.io.IOException;
import java.time.Clock;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.stream.ResumePolicy;
import org.dragonflygw.core.stream.SilenceLimits;
import org.dragonflygw.core.stream.SseDecoder;
import org.dragonflygw.core.stream.SseEvent;
import org.dragonflygw.core.stream.StreamCheck;
import org.dragonflygw.core.stream.StreamException;
import org.dragonflygw.core.stream.Verdict;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * The response of an engine as a sequence of validated events. When the connection is lost, silent or corrupted, the
 * stream is resumed on a new connection at the next token. The reader of this class never sees a duplicate event, an
 * event out of order, or an event of another request. Not thread-safe.
 */
public final class TokenStream implements AutoCloseable {
    private static final Logger LOG = LogManager.getLogger(TokenStream.class);
    private static final int END_OF_BODY_TIMEOUT_MILLIS = 20;
    private static final int READ_BYTES = 8_192;
    private static final int MAX_EVENT_BYTES = 1_048_576;
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;
    private static final long RESUME_RETRY_DELAY_MILLIS = 20;

    private final EngineClient client;
    private final Endpoint engine;
    private final RequestContext request;
    private final Clock clock;
    private final EventRecorder events;
    private final StreamMetrics metrics;
    private final SilenceLimits limits;
    private final StreamCheck check;
    private final ResumePolicy resumes;
    private final byte[] readBuffer = new byte[READ_BYTES];
    private final long startNanos = System.nanoTime();
    private EndpointExchange exchange;
    private SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
    private boolean firstTokenReceived;
    private long reportedTokens;
    private long lastTokenNanos = startNanos;

    TokenStream(
            EngineClient client,
            Endpoint engine,
            RequestContext request,
            Clock clock,
            EventRecorder events,
            StreamMetrics metrics) {
        this.client = client;
        this.engine = engine;
        this.request = request;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
        this.limits = SilenceLimits.of(request);
        this.check = new StreamCheck(request.requestId());
        this.resumes = new ResumePolicy(request.deadline());
    }

    /** Starts reading from the response to the dispatch. */
    public void start(EndpointExchange first) {
        this.exchange = first;
    }

    /**
     * Starts by resuming on a new connection, after the response to the dispatch was lost.
     *
     * @param cause the loss
     * @throws EndpointException when the engine does not know the stream or cannot be reached
     */
    public void startByResuming(EndpointException cause) {
        reconnect(cause);
    }

    /** Number of tokens accepted so far, which is also the sequence number of the next token. */
    public long acceptedTokens() {
        return check.nextSequence();
    }

    /** Whether the last event of the response was accepted. */
    public boolean isComplete() {
        return check.isComplete();
    }

    /**
     * Returns the next event if one has been received already. Does not wait for the engine, except to resume a
     * corrupted stream.
     *
     * @throws EndpointException when the rest of the response is lost
     */
    public Optional<SseEvent> poll() {
        while (true) {
            Optional<SseEvent> event;
            try {
                event = decoder.next();
            } catch (StreamException e) {
                reconnect(e);
                continue;
            }
            if (event.isEmpty() || check.isComplete()) {
                return Optional.empty();
            }
            Verdict verdict = check.accept(event.get());
            if (verdict == Verdict.RELAY || verdict == Verdict.DONE) {
                return event;
            }
            reject(verdict);
        }
    }

    /**
     * Returns the next event; blocks until it is received.
     *
     * @throws EndpointException when the rest of the response is lost
     */
    public SseEvent next() {
        while (true) {
            Optional<SseEvent> event = poll();
            if (event.isPresent()) {
                recordProgress();
                return event.get();
            }
            readMore();
        }
    }

    @Override
    public void close() {
        metrics.relayed(acceptedTokens() - reportedTokens);
        reportedTokens = acceptedTokens();
        if (exchange != null) {
            readEndOfBody();
            exchange.close();
            exchange = null;
        }
    }

    private void readEndOfBody() {
        if (!check.isComplete()) {
            return;
        }
        try {
            exchange.setSilenceLimit(END_OF_BODY_TIMEOUT_MILLIS);
            exchange.read(readBuffer);
        } catch (IOException e) {
            LOG.debug("end of the response body of {} not received: {}", request.requestId(), e.toString());
        }
    }

    private void readMore() {
        try {
            int count = exchange.read(readBuffer);
            if (count < 0) {
                reconnect(new EndpointException(
                        EndpointCode.CONNECTION_LOST, engine.id() + " ended the stream at token " + acceptedTokens()));
                return;
            }
            decoder.append(readBuffer, 0, count);
        } catch (IOException e) {
            reconnect(EndpointClient.readFailure(engine.id(), e));
        }
    }

    private void recordProgress() {
        long now = System.nanoTime();
        if (firstTokenReceived) {
            metrics.tokenGap(now - lastTokenNanos);
        } else {
            metrics.firstToken(now - startNanos);
            events.record(EventType.FIRST_TOKEN, subject(), "");
            exchange.setSilenceLimit(limits.tokenGapMillis());
            firstTokenReceived = true;
        }
        lastTokenNanos = now;
    }

    private void reject(Verdict verdict) {
        if (verdict == Verdict.EMPTY) {
            return;
        }
        metrics.rejected(verdict);
        events.record(EventType.CHUNK_REJECTED, subject(), verdict + " at token " + acceptedTokens());
        if (verdict != Verdict.DUPLICATE && verdict != Verdict.FOREIGN) {
            reconnect(new EndpointException(
                    EndpointCode.MALFORMED_ANSWER,
                    engine.id() + " sent an event with verdict " + verdict + " at token " + acceptedTokens()));
        }
    }

    private void reconnect(RuntimeException cause) {
        RuntimeException last = cause;
        handleSilence(cause);
        closeExchange();
        while (resumes.tryResume(acceptedTokens(), clock.instant())) {
            try {
                EndpointExchange next = client.resume(
                        engine, request.requestId(), acceptedTokens(), limits.limitMillis(acceptedTokens()));
                if (next.status() == STATUS_OK) {
                    onResumed(next);
                    return;
                }
                next.close();
                last = new EndpointException(
                        EndpointCode.MALFORMED_ANSWER,
                        engine.id() + " responded to a resume with status " + next.status());
                if (next.status() == STATUS_NOT_FOUND) {
                    break;
                }
            } catch (EndpointException e) {
                last = e;
            }
            sleepBeforeRetry();
        }
        metrics.streamLost();
        throw new EndpointException(
                EndpointCode.STREAM_LOST, "response lost at token " + acceptedTokens() + " on " + engine.id(), last);
    }

    private void onResumed(EndpointExchange next) {
        resumes.onResumed();
        exchange = next;
        decoder = new SseDecoder(MAX_EVENT_BYTES);
        metrics.resumed();
        events.record(EventType.STREAM_RESUMED, subject(), "at token " + acceptedTokens());
    }

    private void handleSilence(RuntimeException cause) {
        boolean silent = cause instanceof EndpointException lost && lost.code() == EndpointCode.CONNECTION_SILENT;
        if (silent) {
            client.closeIdle();
            events.record(EventType.CONNECTION_SILENT, subject(), "at token " + acceptedTokens());
        }
    }

    private void closeExchange() {
        if (exchange != null) {
            exchange.close();
            exchange = null;
        }
    }

    private EventSubject subject() {
        return EventSubject.request(
                request.requestId(),
                request.chatId(),
                engine.id(),
                request.team().name());
    }

    private static void sleepBeforeRetry() {
        try {
            Thread.sleep(RESUME_RETRY_DELAY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
