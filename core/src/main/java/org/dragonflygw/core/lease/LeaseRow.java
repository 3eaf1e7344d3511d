package org.dragonflygw.core.lease;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Content of the row of a lease.
 *
 * @param holder daemon that holds it; empty after a release
 * @param incarnation incarnation of the holder, so that a restarted daemon does not take over its former self
 * @param fencing grows with each change of the holder; never goes down
 * @param renewal counts the renewals of the holder
 */
record LeaseRow(String holder, long incarnation, long fencing, long renewal) {
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
            throw new IllegalStateException("a lease row can always be written", e);
        }
    }

    static LeaseRow decode(String text) {
        try {
            return JSON.readValue(text, LeaseRow.class);
        } catch (JsonProcessingException e) {
            throw new LeaseException(LeaseCode.MALFORMED, "not a lease row", e);
        }
    }
}
