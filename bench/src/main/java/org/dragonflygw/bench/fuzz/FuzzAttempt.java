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
 * One attempt of a request on one endpoint. The production {@link StreamCheck} checks the answer. After a lost or
 * silent connection, the stream resumes on a new connection if the production {@link ResumePolicy} allows it. Not
 * thread-safe.
 */
final class FuzzAttempt {
    private static final int MAX_EVENT_BYTES = 65_536;

    private final FuzzRequest request;
    private final FuzzSlot slot;
    private final FuzzDaemon daemon;
    private final StreamCheck check;
    private final ResumePolicy resumePolicy;
    private final SilenceLimits silence;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int connections;
    private boolean finished;

    FuzzAttempt(FuzzRequest request, FuzzSlot slot) {
        this.request = request;
        this.slot = slot;
        this.daemon = request.daemon();
        this.check = new StreamCheck(request.id());
        this.resumePolicy = new ResumePolicy(request.context().deadline());
        this.silence = SilenceLimits.of(request.context());
    }

    /** Sends the request and schedules the end of the attempt at the deadline. */
    void start() {
        long remainingMillis =
                request.context().deadline().toEpochMilli() - daemon.clock().millis();
        daemon.schedule(remainingMillis, this::onDeadline);
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
        if (!finished) {
            fail(AttemptOutcome.CANCELLED, false, false);
        }
    }

    private void fail(AttemptOutcome outcome, boolean notRun, boolean retryable) {
        finished = true;
        slot.end(outcome);
        request.attemptFailed(slot.endpoint().id(), outcome, notRun, retryable);
    }

    private void succeed() {
        finished = true;
        slot.end(AttemptOutcome.COMPLETED);
        request.succeed(body.toByteArray());
    }

    private void connectionLost() {
        if (request.call().isBooking()) {
            fail(AttemptOutcome.ENDPOINT_LOST, false, true);
            return;
        }
        boolean allowed =
                resumePolicy.tryResume(check.nextSequence(), daemon.clock().instant());
        if (allowed && slot.endpoint().resume(request.id(), check.nextSequence(), connect())) {
            resumePolicy.onResumed();
            return;
        }
        fail(AttemptOutcome.ENDPOINT_LOST, false, check.nextSequence() == 0);
    }

    /** One connection of the attempt. Events of a connection that a newer one has replaced are ignored. */
    private final class Connection implements AnswerListener {
        private final int number;
        private final SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
        private long sequenceAtLastCheck;

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
                if (!finished && number == connections) {
                    action.run();
                }
            });
        }

        private void watchSilence() {
            sequenceAtLastCheck = check.nextSequence();
            daemon.schedule(silence.limitMillis(sequenceAtLastCheck), () -> ifCurrent(this::checkSilence));
        }

        private void checkSilence() {
            if (check.nextSequence() == sequenceAtLastCheck) {
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
                while (event.isPresent() && !finished && number == connections) {
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
