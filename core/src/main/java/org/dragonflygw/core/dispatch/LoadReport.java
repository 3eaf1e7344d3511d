package org.dragonflygw.core.dispatch;

/**
 * The load that an endpoint reported in a response.
 *
 * @param running number of running requests
 * @param waiting number of requests that wait for a slot
 * @param slots number of slots
 */
public record LoadReport(int running, int waiting, int slots) {}
