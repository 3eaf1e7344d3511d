package org.dragonflygw.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks the orders of an engine and the models loaded by them. An order is done {@link EngineConfig#orderMillis}
 * after its arrival. Thread-safe.
 */
final class OrderTracker {
    private final InstantSource clock;
    private final EngineConfig config;
    private final Map<String, Entry> entries = new HashMap<>();
    private final List<Order> accepted = new ArrayList<>();
    private final List<LoadedModel> loaded = new ArrayList<>();
    private long highestFencing;

    OrderTracker(InstantSource clock, EngineConfig config) {
        this.clock = clock;
        this.config = config;
        loaded.addAll(config.models());
    }

    /** Accepts an order unless its fencing token is stale; an order with a known id is not executed again. */
    synchronized OrderStatus place(Order order) {
        Entry known = entries.get(order.orderId());
        if (known != null) {
            return status(known);
        }
        if (config.checksFencing() && order.fencing() < highestFencing) {
            return OrderStatus.STALE_FENCING;
        }
        highestFencing = Math.max(highestFencing, order.fencing());
        Entry entry = new Entry(order, clock.instant().plus(Duration.ofMillis(config.orderMillis())));
        entries.put(order.orderId(), entry);
        accepted.add(order);
        return status(entry);
    }

    synchronized Optional<OrderStatus> status(String orderId) {
        return Optional.ofNullable(entries.get(orderId)).map(this::status);
    }

    /** Returns the models loaded now. */
    synchronized List<LoadedModel> loaded() {
        applyDueOrders();
        return List.copyOf(loaded);
    }

    /** Returns all accepted orders, in order; kept across restarts for tests. */
    synchronized List<Order> accepted() {
        return List.copyOf(accepted);
    }

    synchronized void reset() {
        entries.clear();
        highestFencing = 0;
        loaded.clear();
        loaded.addAll(config.models());
    }

    private OrderStatus status(Entry entry) {
        applyDueOrders();
        return entry.applied ? OrderStatus.DONE : OrderStatus.RUNNING;
    }

    private void applyDueOrders() {
        Instant now = clock.instant();
        List<Entry> due = new ArrayList<>();
        for (Entry entry : entries.values()) {
            if (!entry.applied && !entry.doneAt.isAfter(now)) {
                due.add(entry);
            }
        }
        due.sort((left, right) -> left.doneAt.compareTo(right.doneAt));
        due.forEach(this::apply);
    }

    private void apply(Entry entry) {
        entry.applied = true;
        Order order = entry.order;
        LoadedModel model = new LoadedModel(order.model(), order.version(), order.adapter());
        switch (order.action()) {
            case "load" -> {
                loaded.remove(model);
                loaded.add(model);
            }
            case "unload" -> loaded.remove(model);
            default -> {}
        }
    }

    private static final class Entry {
        private final Order order;
        private final Instant doneAt;
        private boolean applied;

        Entry(Order order, Instant doneAt) {
            this.order = order;
            this.doneAt = doneAt;
        }
    }
}
