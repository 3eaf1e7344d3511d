package org.dragonflygw.daemon.endpoint;

import com.google.inject.Inject;
import com.google.inject.Singleton;
import java.time.Clock;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.request.RequestContext;
import org.dragonflygw.core.timeline.EventRecorder;

/** Creates token streams. Thread-safe. */
@Singleton
public final class TokenStreamFactory {
    private final EngineClient client;
    private final Clock clock;
    private final EventRecorder events;
    private final StreamMetrics metrics;

    @Inject
    public TokenStreamFactory(EngineClient client, Clock clock, EventRecorder events, StreamMetrics metrics) {
        this.client = client;
        this.clock = clock;
        this.events = events;
        this.metrics = metrics;
    }

    /** Creates the stream for the response to a request; the caller starts and closes it. */
    public TokenStream create(Endpoint engine, RequestContext request) {
        return new TokenStream(client, engine, request, clock, events, metrics);
    }
}
