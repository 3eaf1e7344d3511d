package org.dragonflygw.core.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Stored row of a lease, serialized as JSON under the names of the components.
 *
 * @param holder id of the daemon that holds the lease; empty after a release
 * @param incarnation incarnation of the holder; a restarted daemon does not continue the lease of its predecessor
 * @param fencing fencing token; increases with each change of the holder and never decreases
 * @param renewal number of renewals by the current holder
 */
record LeaseRow(String holder, long incarnation, long fencing, long renewal) {
    /** Stands for a row that does not exist yet. */
    static final LeaseRow NONE = new LeaseRow("", 0, 0, 0);

    private static final ObjectMapper JSON = new ObjectMapper();

    boolean isHeldBy(String daemonId, long daemonIncarnation) {
        return holder.equals(daemonId) && incarnation == daemonIncarnation;
    }

    boolean isFree() {
        return holder.isEmpty();
    }

    String encode() {
        try {
            return JSON.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize lease row", e);
        }
    }

    static LeaseRow decode(String text) {
        try {
            return JSON.readValue(text, LeaseRow.class);
        } catch (JsonProcessingException e) {
            throw new LeaseException(LeaseCode.MALFORMED, "malformed lease row: " + text, e);
        }
    }
}
