package org.dragonflygw.core.timeline;

/**
 * What an event is about; empty strings where a part does not apply. Events are looked up by these.
 *
 * @param requestId request
 * @param chatId chat
 * @param endpointId endpoint
 * @param team team
 * @param key idempotency key
 * @param lease lease
 */
public record EventSubject(String requestId, String chatId, String endpointId, String team, String key, String lease) {
    /** About no one thing. */
    public static final EventSubject NONE = new EventSubject("", "", "", "", "", "");

    /** About a request and its chat, endpoint and team. */
    public static EventSubject request(String requestId, String chatId, String endpointId, String team) {
        return new EventSubject(requestId, chatId, endpointId, team, "", "");
    }

    /** About an endpoint. */
    public static EventSubject endpoint(String endpointId) {
        return new EventSubject("", "", endpointId, "", "", "");
    }

    /** About a lease. */
    public static EventSubject lease(String lease) {
        return new EventSubject("", "", "", "", "", lease);
    }
}
