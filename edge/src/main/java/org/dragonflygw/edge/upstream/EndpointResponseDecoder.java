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
 * Decodes the responses of an endpoint, whose connections are used for one request after the other. A head that contains
 * a second status line is malformed.
 */
final class EndpointResponseDecoder extends StrictResponseDecoder {
    /** A status line up to its reason phrase. What follows a head that broke off is a whole one. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}(?![0-9])");

    EndpointResponseDecoder(ResponseChannel channel, HttpDecoderConfig config) {
        super(channel, config);
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
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
