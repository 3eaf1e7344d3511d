package org.dragonflygw.core.resume;

/**
 * Where a stream began; it may go on only there.
 *
 * @param service name of the service
 * @param version version of the software of the endpoint that wrote the first event
 */
public record StreamOrigin(String service, String version) {}
