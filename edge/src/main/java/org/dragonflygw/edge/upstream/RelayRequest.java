package org.dragonflygw.edge.upstream;

import io.netty.buffer.ByteBuf;
import java.util.List;
import org.dragonflygw.core.exchange.HeaderField;
import org.dragonflygw.core.settings.HostAddress;

/**
 * A caller's request that is passed to another host.
 *
 * @param host address at which the other host takes such requests
 * @param method HTTP method
 * @param target path and query
 * @param header header fields except those that frame the body
 * @param body request body; the sender retains its own reference
 */
public record RelayRequest(HostAddress host, String method, String target, List<HeaderField> header, ByteBuf body) {}
