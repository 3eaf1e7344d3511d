package org.dragonflygw.daemon.timeline;

import com.google.inject.Inject;
import jakarta.ws.rs.BadRequestException;
import jakarta.ws.rs.DefaultValue;
import jakarta.ws.rs.GET;
import jakarta.ws.rs.Path;
import jakarta.ws.rs.Produces;
import jakarta.ws.rs.QueryParam;
import jakarta.ws.rs.core.MediaType;
import org.dragonflygw.core.inspect.TimelineView;
import org.dragonflygw.core.timeline.EventFilter;
import org.dragonflygw.core.timeline.EventKey;
import org.dragonflygw.core.timeline.EventRing;
import org.dragonflygw.wire.settings.RouterSettings;

/** Operators' interface for the recorded events of this daemon. */
@Path("/v1/timeline")
@Produces(MediaType.APPLICATION_JSON)
public final class TimelineResource {
    private static final int MAX_EVENTS = 10_000;

    private final EventRing ring;
    private final RouterSettings settings;

    @Inject
    public TimelineResource(EventRing ring, RouterSettings settings) {
        this.ring = ring;
        this.settings = settings;
    }

    /**
     * Returns the newest matching events.
     *
     * @param by request, chat, engine, team, key or lease; empty for all events
     * @param value value of that key to match
     * @param limit maximum number of events, from 1 to 10,000
     */
    @GET
    public TimelineView events(
            @QueryParam("by") @DefaultValue("") String by,
            @QueryParam("value") @DefaultValue("") String value,
            @QueryParam("limit") @DefaultValue("1000") int limit) {
        if (limit < 1 || limit > MAX_EVENTS) {
            throw new BadRequestException("limit must be from 1 to " + MAX_EVENTS);
        }
        return new TimelineView(settings.getDaemonId(), ring.usage(), ring.read(filter(by, value), limit));
    }

    private static EventFilter filter(String by, String value) {
        if (by.isEmpty()) {
            return EventFilter.ALL;
        }
        EventKey key = EventKey.parse(by)
                .orElseThrow(
                        () -> new BadRequestException("by must be request, chat, engine, team, key or lease: " + by));
        return EventFilter.by(key, value);
    }
}
