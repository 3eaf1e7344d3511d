package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.dragonflygw.core.exchange.Dispatch;
import org.dragonflygw.core.exchange.HeaderField;

/**
 * A request to be sent to an endpoint.
 *
 * @param dispatch endpoint to send to and limits of the attempt
 * @param attemptId id that the response must echo
 * @param method HTTP method
 * @param target path and query
 * @param header header fields except those that frame the body, such as Content-Length
 * @param body request body; the sender retains its own reference
 */
public record EndpointRequest(
        Dispatch dispatch, String attemptId, String method, String target, List<HeaderField> header, ByteBuf body) {}
