package org.dragonflygw.core.timeline;

import java.util.Locale;
import java.util.Optional;

/** The part of an event's subject by which events are looked up. */
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

    /** The value of this part; empty when the event is not about one. */
    public abstract String valueIn(EventSubject subject);

    /** Name in commands and addresses. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds a key by its name in commands; empty for an unknown name. */
    public static Optional<EventKey> parse(String wireName) {
        for (EventKey key : values()) {
            if (key.wireName().equals(wireName)) {
                return Optional.of(key);
            }
        }
        return Optional.empty();
    }
}
