package org.dragonflygw.core.dispatch;

/**
 * What an endpoint said of its load in an answer.
 *
 * @param running requests that run
 * @param waiting requests that wait for a place
 * @param slots places
 */
public record LoadReport(int running, int waiting, int slots) {}
