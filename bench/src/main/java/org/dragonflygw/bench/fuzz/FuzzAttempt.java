package org.dragonflygw.bench.fuzz;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.dragonflygw.core.routing.AttemptOutcome;
import org.dragonflygw.core.stream.ResumePolicy;
import org.dragonflygw.core.stream.SilenceLimits;
import org.dragonflygw.core.stream.SseDecoder;
import org.dragonflygw.core.stream.SseEvent;
import org.dragonflygw.core.stream.StreamCheck;
import org.dragonflygw.core.stream.StreamException;
import org.dragonflygw.core.stream.Verdict;

/**
 * One attempt of a request on one endpoint. The answer is checked by the real stream check; after a lost or silent
 * connection the stream is resumed on a new one where the real policy allows it. For one thread.
 */
final class FuzzAttempt {
    private static final int MAX_EVENT_BYTES = 65_536;

    private final FuzzRequest request;
    private final FuzzSlot slot;
    private final FuzzDaemon daemon;
    private final StreamCheck check;
    private final ResumePolicy resumes;
    private final SilenceLimits silence;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int connections;
    private boolean over;

    FuzzAttempt(FuzzRequest request, FuzzSlot slot) {
        this.request = request;
        this.slot = slot;
        this.daemon = request.daemon();
        this.check = new StreamCheck(request.id());
        this.resumes = new ResumePolicy(request.context().deadline());
        this.silence = SilenceLimits.of(request.context());
    }

    /** Sends the request. */
    void start() {
        long left = request.context().deadline().toEpochMilli() - daemon.clock().millis();
        daemon.schedule(left, this::onDeadline);
        slot.endpoint()
                .send(request.id(), request.call().submission(), request.call().answer(request.id()), connect());
    }

    private Connection connect() {
        Connection connection = new Connection(++connections);
        if (!request.call().isBooking()) {
            connection.watchSilence();
        }
        return connection;
    }

    private void onDeadline() {
        if (!over) {
            fail(AttemptOutcome.CANCELLED, false, false);
        }
    }

    private void fail(AttemptOutcome outcome, boolean notRun, boolean retryable) {
        over = true;
        slot.end(outcome);
        request.attemptFailed(slot.endpoint().id(), outcome, notRun, retryable);
    }

    private void succeed() {
        over = true;
        slot.end(AttemptOutcome.COMPLETED);
        request.succeed(body.toByteArray());
    }

    private void connectionLost() {
        if (request.call().isBooking()) {
            fail(AttemptOutcome.ENDPOINT_LOST, false, true);
            return;
        }
        boolean allowed = resumes.tryResume(check.nextSequence(), daemon.clock().instant());
        if (allowed && slot.endpoint().resume(request.id(), check.nextSequence(), connect())) {
            resumes.onResumed();
            return;
        }
        fail(AttemptOutcome.ENDPOINT_LOST, false, check.nextSequence() == 0);
    }

    /** One connection; what comes over an earlier one is ignored. */
    private final class Connection implements AnswerListener {
        private final int number;
        private final SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
        private long tokensSeen;

        private Connection(int number) {
            this.number = number;
        }

        @Override
        public void onRefused() {
            ifCurrent(() -> fail(AttemptOutcome.ENDPOINT_LOST, true, true));
        }

        @Override
        public void onBytes(byte[] bytes) {
            ifCurrent(() -> receive(bytes));
        }

        @Override
        public void onEnd() {
            ifCurrent(() -> {
                if (request.call().isBooking()) {
                    succeed();
                } else {
                    connectionLost();
                }
            });
        }

        @Override
        public void onLost() {
            ifCurrent(FuzzAttempt.this::connectionLost);
        }

        private void ifCurrent(Runnable action) {
            daemon.run(() -> {
                if (!over && number == connections) {
                    action.run();
                }
            });
        }

        private void watchSilence() {
            tokensSeen = check.nextSequence();
            daemon.schedule(silence.limitMillis(tokensSeen), () -> ifCurrent(this::checkSilence));
        }

        private void checkSilence() {
            if (check.nextSequence() == tokensSeen) {
                connectionLost();
            } else {
                watchSilence();
            }
        }

        private void receive(byte[] bytes) {
            if (request.call().isBooking()) {
                receivePlain(bytes);
                return;
            }
            decoder.append(bytes, 0, bytes.length);
            try {
                Optional<SseEvent> event = decoder.next();
                while (event.isPresent() && !over && number == connections) {
                    receive(event.get());
                    event = decoder.next();
                }
            } catch (StreamException e) {
                connectionLost();
            }
        }

        private void receive(SseEvent event) {
            Verdict verdict = check.accept(event);
            switch (verdict) {
                case RELAY -> request.relay(SseChunks.content(event.data()));
                case DONE -> succeed();
                case EMPTY, DUPLICATE, FOREIGN -> {}
                default -> connectionLost();
            }
        }

        private void receivePlain(byte[] bytes) {
            body.writeBytes(SseChunks.text(bytes).getBytes(StandardCharsets.UTF_8));
        }
    }
}
