package org.dragonflygw.edge.upstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.dragonflygw.edge.http.ResponseChannel;
import org.dragonflygw.edge.http.StrictResponseDecoder;

/**
 * Decodes the responses of an endpoint. The codec of the library takes almost any three words for a status line; here,
 * bytes that are not a status line of HTTP/1.0 or HTTP/1.1 with a status from 100 to 599 are malformed. So is a head that
 * contains a second status line.
 */
final class EndpointResponseDecoder extends StrictResponseDecoder {
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

    /** Beginning of a status line; its status may be cut off. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] ");

    EndpointResponseDecoder(ResponseChannel channel, HttpDecoderConfig config) {
        super(channel, config);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!VERSION.matcher(statusLine[0]).matches()
                || !STATUS.matcher(statusLine[1]).matches()) {
            throw new IllegalArgumentException("invalid status line");
        }
        if (STATUS_LINE.matcher(statusLine[2]).find()) {
            throw new IllegalArgumentException("status line in a reason phrase");
        }
        return super.createMessage(statusLine);
    }

    /** A head with a status line in a field is the beginning of one response, which broke off, and the rest of another. */
    @Override
    protected Optional<String> problemOf(HttpResponse head) {
        for (Map.Entry<String, String> field : head.headers()) {
            if (STATUS_LINE.matcher(field.getValue()).find()) {
                return Optional.of("status line in the field " + field.getKey());
            }
        }
        return super.problemOf(head);
    }
}
