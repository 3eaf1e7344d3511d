package org.dragonflygw.standins.engine;

/**
 * An order to an engine.
 *
 * @param orderId id of the order; the same id is the same order
 * @param fencing fencing number of the lease under which it was given
 * @param action {@code load}, {@code unload} or {@code role}
 * @param model name of the model
 * @param version version of the model
 * @param adapter adapter; empty for none
 * @param role new role; empty when the action changes none
 */
public record Order(
        String orderId, long fencing, String action, String model, String version, String adapter, String role) {
    public Order {
        orderId = emptyIfNull(orderId);
        action = emptyIfNull(action);
        model = emptyIfNull(model);
        version = emptyIfNull(version);
        adapter = emptyIfNull(adapter);
        role = emptyIfNull(role);
    }

    private static String emptyIfNull(String value) {
        return value == null ? "" : value;
    }
}
