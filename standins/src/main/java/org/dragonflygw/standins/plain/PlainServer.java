package org.dragonflygw.standins.plain;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.http.HttpListener;
import org.dragonflygw.standins.time.TaskTimer;

/**
 * A fake plain service for tests and demos. {@code GET /executions} lists the recorded executions, and
 * {@code POST /faults} sets faults. Every other request counts as an action, which the service executes and records.
 */
public final class PlainServer implements AutoCloseable {
    private static final int NO_CONTENT = 204;
    private static final int OK = 200;
    private static final int INTERNAL_ERROR = 500;

    private final String id;
    private final InstantSource clock;
    private final TaskTimer timer;
    private final AtomicLong arrivals = new AtomicLong();
    private final List<Execution> executions = new ArrayList<>();
    private final HttpListener listener;
    private volatile PlainFaults faults = PlainFaults.NONE;

    /** Starts a service with the system clock; port 0 selects an ephemeral port. */
    public PlainServer(String id, int port) {
        this(id, port, InstantSource.system());
    }

    /** Starts a service; the clock gives the times of the executions. */
    public PlainServer(String id, int port, InstantSource clock) {
        this.id = id;
        this.clock = clock;
        timer = new TaskTimer(id);
        listener = new HttpListener(port, id, this::handle);
    }

    /** Returns the port of the service. */
    public int port() {
        return listener.port();
    }

    /** Returns the base URL of the service. */
    public String baseUrl() {
        return listener.baseUrl();
    }

    /** Replaces the current faults and resets the count of requests. */
    public void setFaults(PlainFaults newFaults) {
        arrivals.set(0);
        faults = newFaults;
    }

    /** Returns all executions in order. */
    public List<Execution> executions() {
        synchronized (executions) {
            return List.copyOf(executions);
        }
    }

    /** Returns the number of executions with the given idempotency key. */
    public long executionCount(String idempotencyKey) {
        return executions().stream()
                .filter(execution -> execution.idempotencyKey().equals(idempotencyKey))
                .count();
    }

    @Override
    public void close() {
        timer.close();
        listener.close();
    }

    private void handle(Exchange exchange) {
        switch (exchange.method() + " " + exchange.path()) {
            case "GET /executions" -> exchange.json(OK, executions());
            case "POST /faults" -> {
                setFaults(exchange.body(PlainFaults.class));
                exchange.status(NO_CONTENT);
            }
            default -> execute(exchange);
        }
    }

    private void execute(Exchange exchange) {
        PlainFaults now = faults;
        long number = arrivals.incrementAndGet();
        if (hits(number, now.dropBeforeEvery())) {
            exchange.drop();
            return;
        }
        timer.after(now.delayMillis(), () -> {
            Execution execution = record(exchange);
            timer.after(now.answerDelayMillis(), () -> answer(exchange, execution, now, number));
        });
    }

    private void answer(Exchange exchange, Execution execution, PlainFaults now, long number) {
        if (hits(number, now.silentEvery())) {
            return;
        }
        if (hits(number, now.loseAnswerEvery())) {
            exchange.drop();
            return;
        }
        if (hits(number, now.failEvery())) {
            exchange.error(INTERNAL_ERROR, "FAILED_AFTER_RUN");
            return;
        }
        exchange.json(OK, new Answer(id, execution.number(), execution.requestId(), execution.idempotencyKey()));
    }

    private Execution record(Exchange exchange) {
        synchronized (executions) {
            Execution execution = new Execution(
                    executions.size() + 1L,
                    exchange.header("X-Request-Id"),
                    exchange.header("Idempotency-Key"),
                    exchange.method(),
                    exchange.path(),
                    exchange.bodyText(),
                    clock.millis());
            executions.add(execution);
            return execution;
        }
    }

    private static boolean hits(long number, int every) {
        return every > 0 && number % every == 0;
    }

    private record Answer(String service, long execution, String requestId, String idempotencyKey) {}
}
