package org.dragonflygw.standins.engine;

/** State of an order at an engine, with the HTTP status of the response to the order. */
enum OrderStatus {
    RUNNING(202),
    DONE(200),
    STALE_FENCING(409);

    private final int httpStatus;

    OrderStatus(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    int httpStatus() {
        return httpStatus;
    }
}
