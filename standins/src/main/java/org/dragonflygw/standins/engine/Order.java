package org.dragonflygw.standins.engine;

/**
 * An order to an engine to load or unload a model or to change its role. Null texts become empty.
 *
 * @param orderId id of the order; a repeated id is not executed again
 * @param fencing fencing token of the lease under which the order was given
 * @param action {@code load}, {@code unload} or {@code role}
 * @param model name of the model
 * @param version version of the model
 * @param adapter name of the adapter; empty for none
 * @param role new role; empty when the action does not change the role
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
