package org.dragonflygw.bench.policy;

/**
 * One request of the generated work.
 *
 * @param atMillis time of arrival
 * @param id unique number, also the fingerprint
 * @param team index of the team
 * @param chat chat number
 * @param document document whose text the prompt begins with
 * @param documentTokens length of the document
 * @param historyTokens length of the chat before this turn, without the document
 * @param newTokens tokens that no cache can hold
 * @param outputTokens length of the answer
 * @param deadlineMillis time that the caller waits
 */
record Arrival(
        long atMillis,
        long id,
        int team,
        long chat,
        int document,
        int documentTokens,
        int historyTokens,
        int newTokens,
        int outputTokens,
        long deadlineMillis) {
    int promptTokens() {
        return documentTokens + historyTokens + newTokens;
    }
}
