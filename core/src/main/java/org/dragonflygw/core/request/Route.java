package org.dragonflygw.core.request;

import org.dragonflygw.core.config.Service;

/**
 * Where a request goes.
 *
 * @param position position of the rule in the sheet
 * @param service service that takes the request
 * @param maxPriority greatest priority that the request may have
 */
public record Route(int position, Service service, int maxPriority) {}
