package org.dragonflygw.standins.plain;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.http.HttpListener;
import org.dragonflygw.standins.time.TaskTimer;

/**
 * A plain service for tests and demos. Every request on any path but its own two is an action that it runs and
 * records; {@code GET /executions} lists the runs, {@code POST /faults} sets faults.
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

    /** Starts a service with the clock of the runtime; port 0 is an ephemeral one. */
    public PlainServer(String id, int port) {
        this(id, port, InstantSource.system());
    }

    /** Starts a service; the clock gives the times of the runs. */
    public PlainServer(String id, int port, InstantSource clock) {
        this.id = id;
        this.clock = clock;
        timer = new TaskTimer(id);
        listener = new HttpListener(port, id, this::handle);
    }

    /** Port of the service. */
    public int port() {
        return listener.port();
    }

    /** Base URL of the service. */
    public String baseUrl() {
        return listener.baseUrl();
    }

    /** Replaces the faults in force and begins to count anew. */
    public void setFaults(PlainFaults newFaults) {
        arrivals.set(0);
        faults = newFaults;
    }

    /** All runs in order. */
    public List<Execution> executions() {
        synchronized (executions) {
            return List.copyOf(executions);
        }
    }

    /** Number of runs with an idempotency key. */
    public long executionCount(String idempotencyKey) {
        return executions().stream()
                .filter(run -> run.idempotencyKey().equals(idempotencyKey))
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
