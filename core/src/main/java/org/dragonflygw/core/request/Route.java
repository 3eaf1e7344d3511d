package org.dragonflygw.core.request;

import org.dragonflygw.core.config.Service;

/**
 * Route of a request, from the first rule of the sheet that matches.
 *
 * @param position position of the rule in the sheet, from 0
 * @param service service that the request is routed to
 * @param maxPriority highest priority that the request may ask for
 */
public record Route(int position, Service service, int maxPriority) {}
