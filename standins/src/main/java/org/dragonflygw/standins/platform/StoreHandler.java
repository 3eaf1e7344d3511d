package org.dragonflygw.standins.platform;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.WeightPermit;
import org.dragonflygw.standins.http.Exchange;
import org.dragonflygw.standins.http.StandinCode;
import org.dragonflygw.standins.http.StandinException;
import org.dragonflygw.standins.time.RateLimit;
import org.dragonflygw.standins.time.TaskTimer;

/** Serves the calls of the table service, object store and weight store, and applies rate limits and faults. */
final class StoreHandler {
    private static final int NO_CONTENT = 204;
    private static final int NOT_FOUND = 404;
    private static final int THROTTLED = 429;
    private static final int UNAVAILABLE = 503;
    private static final int MAX_MUTATIONS = 500;
    private static final int MAX_SCAN_ROWS = 1000;
    private static final String OBJECTS = "/objects/";

    private final TableService tables;
    private final ObjectService objects;
    private final StoreLimits limits;
    private final PlatformFaultInjector faults;
    private final TaskTimer timer;
    private final LongAdder reads = new LongAdder();
    private final LongAdder commits = new LongAdder();
    private final LongAdder mutations = new LongAdder();
    private final LongAdder objectReads = new LongAdder();
    private final LongAdder objectWrites = new LongAdder();
    private final LongAdder throttled = new LongAdder();

    StoreHandler(
            TableService tables,
            ObjectService objects,
            StoreLimits limits,
            PlatformFaultInjector faults,
            TaskTimer timer) {
        this.tables = tables;
        this.objects = objects;
        this.limits = limits;
        this.faults = faults;
        this.timer = timer;
    }

    StoreCounts counts() {
        return new StoreCounts(
                reads.sum(), commits.sum(), mutations.sum(), objectReads.sum(), objectWrites.sum(), throttled.sum());
    }

    /** Handles a call; returns false when the path belongs to none of the stores. */
    boolean handle(Exchange exchange) {
        String path = exchange.path();
        if (path.startsWith(OBJECTS)) {
            object(exchange, path.substring(OBJECTS.length()));
            return true;
        }
        switch (exchange.method() + " " + path) {
            case "POST /tables/read" -> read(exchange);
            case "POST /tables/scan" -> scan(exchange);
            case "POST /tables/commit" -> commit(exchange);
            case "POST /weights/reads" -> weights(exchange);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void read(Exchange exchange) {
        RowName name = exchange.body(RowName.class);
        handleRead(exchange, () -> {
            reads.increment();
            return StoreResponse.json(new RowBody(tables.read(name.table(), name.key())));
        });
    }

    private void scan(Exchange exchange) {
        ScanBody scan = exchange.body(ScanBody.class);
        int limit = Math.max(0, Math.min(MAX_SCAN_ROWS, scan.limit()));
        handleRead(exchange, () -> {
            reads.increment();
            return StoreResponse.json(new RowsBody(
                    tables.scan(scan.table(), emptyIfNull(scan.prefix()), emptyIfNull(scan.afterKey()), limit)));
        });
    }

    private void commit(Exchange exchange) {
        List<Mutation> requested = exchange.body(CommitBody.class).mutations();
        if (requested == null || requested.size() > MAX_MUTATIONS) {
            throw new StandinException(
                    StandinCode.BAD_REQUEST, "mutations must be a list of 0 to " + MAX_MUTATIONS + " entries");
        }
        handleWrite(exchange, limits.writes(), () -> {
            commits.increment();
            mutations.add(requested.size());
            CommitResult result = tables.commit(requested);
            return StoreResponse.json(result);
        });
    }

    private void object(Exchange exchange, String key) {
        switch (exchange.method()) {
            case "GET" ->
                handleRead(exchange, () -> {
                    objectReads.increment();
                    Optional<byte[]> content = objects.get(key);
                    return content.isPresent() ? StoreResponse.bytes(content.get()) : StoreResponse.status(NOT_FOUND);
                });
            case "PUT" ->
                handleWrite(exchange, limits.writes(), () -> {
                    objectWrites.increment();
                    objects.put(key, exchange.body());
                    return StoreResponse.status(NO_CONTENT);
                });
            default -> exchange.error(NOT_FOUND, "NO_SUCH_CALL");
        }
    }

    private void weights(Exchange exchange) {
        long size = limits.weightSizeBytes();
        handleWrite(exchange, limits.reads(), () -> {
            boolean granted = limits.weightBytes().tryTake(size);
            long wait = granted ? 0 : Math.max(1, limits.weightBytes().waitMillis(size));
            return StoreResponse.json(new WeightPermit(granted, size, wait));
        });
    }

    private void handleRead(Exchange exchange, Supplier<StoreResponse> effect) {
        if (rejectIfUnavailable(exchange, limits.reads())) {
            return;
        }
        PlatformFaults now = faults.current();
        timer.after(now.slowMillis(), () -> {
            StoreResponse answer = effect.get();
            timer.after(now.answerDelayMillis(), () -> answer.send(exchange));
        });
    }

    private void handleWrite(Exchange exchange, RateLimit limit, Supplier<StoreResponse> effect) {
        if (rejectIfUnavailable(exchange, limit)) {
            return;
        }
        PlatformFaults now = faults.current();
        PlatformFaultInjector.WriteFault fault = faults.nextWrite();
        if (fault == PlatformFaultInjector.WriteFault.LOST_BEFORE) {
            exchange.drop();
            return;
        }
        timer.after(now.slowMillis(), () -> {
            StoreResponse answer = effect.get();
            if (fault == PlatformFaultInjector.WriteFault.LOST_AFTER) {
                exchange.drop();
                return;
            }
            timer.after(now.answerDelayMillis(), () -> answer.send(exchange));
        });
    }

    /** Handles a call that a fault or rate limit keeps from taking effect; returns whether it did. */
    private boolean rejectIfUnavailable(Exchange exchange, RateLimit limit) {
        PlatformFaults now = faults.current();
        if (now.silent()) {
            return true;
        }
        if (now.outage()) {
            exchange.error(UNAVAILABLE, "OUTAGE");
            return true;
        }
        if (!limit.tryTake(1)) {
            throttled.increment();
            exchange.error(THROTTLED, "THROTTLED");
            return true;
        }
        return false;
    }

    private static String emptyIfNull(String value) {
        return value == null ? "" : value;
    }

    private record RowName(String table, String key) {}

    private record RowBody(Optional<TableRow> row) {}

    private record ScanBody(String table, String prefix, String afterKey, int limit) {}

    private record RowsBody(List<TableRow> rows) {}

    private record CommitBody(List<Mutation> mutations) {}
}
