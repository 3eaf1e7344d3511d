package org.dragonflygw.edge.process;

/**
 * How an endpoint ends when it begins to answer a prompt.
 *
 * @param headWritten whether it writes the head of the response and the first event before it ends
 * @param silent whether it falls silent: its connections stay open, and its port accepts further ones
 * @param sameAddress whether its successor has the same address, at once and under another id
 * @param delayMs time from the arrival of the request, or from the first event, to the end, in milliseconds
 */
record EndpointEnding(boolean headWritten, boolean silent, boolean sameAddress, int delayMs) {}
