package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.dragonflygw.core.exchange.Dispatch;
import org.dragonflygw.core.exchange.HeaderField;

/**
 * A request as it is written to an endpoint.
 *
 * @param dispatch where it goes
 * @param attemptId id that the answer must echo
 * @param method HTTP method
 * @param target path with its query
 * @param header header fields without the framing of the body
 * @param body its body; the sender keeps its own reference
 */
public record EndpointRequest(
        Dispatch dispatch, String attemptId, String method, String target, List<HeaderField> header, ByteBuf body) {}
