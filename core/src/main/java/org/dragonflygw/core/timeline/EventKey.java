package org.dragonflygw.core.timeline;

import java.util.Locale;
import java.util.Optional;

/** Part of an event's subject by which events are looked up. */
public enum EventKey {
    REQUEST {
        @Override
        public String valueIn(EventSubject subject) {
            return subject.requestId();
        }
    },
    CHAT {
        @Override
        public String valueIn(EventSubject subject) {
            return subject.chatId();
        }
    },
    ENGINE {
        @Override
        public String valueIn(EventSubject subject) {
            return subject.endpointId();
        }
    },
    TEAM {
        @Override
        public String valueIn(EventSubject subject) {
            return subject.team();
        }
    },
    KEY {
        @Override
        public String valueIn(EventSubject subject) {
            return subject.key();
        }
    },
    LEASE {
        @Override
        public String valueIn(EventSubject subject) {
            return subject.lease();
        }
    };

    /** Value of this part in the subject; empty if the event has none. */
    public abstract String valueIn(EventSubject subject);

    /** Name of this part in commands and URLs. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds a key by its {@link #wireName}; empty if the name is unknown. */
    public static Optional<EventKey> parse(String wireName) {
        for (EventKey key : values()) {
            if (key.wireName().equals(wireName)) {
                return Optional.of(key);
            }
        }
        return Optional.empty();
    }
}
