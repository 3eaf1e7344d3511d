package org.dragonflygw.core.ledger;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.util.Optional;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.TableRow;

/** Encodes submission rows as JSON and decodes them. */
public final class SubmissionCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper().registerModule(new Jdk8Module());

    private SubmissionCodec() {}

    /** Encodes a row as JSON. */
    public static String encode(SubmissionRow row) {
        try {
            return MAPPER.writeValueAsString(row);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Submission row " + row.token() + " cannot be encoded as JSON", e);
        }
    }

    /** Decodes a row; empty if the row is absent or its value is not a submission. */
    public static Optional<SubmissionRow> decode(TableRow row) {
        if (row.version() == Mutation.ABSENT) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(MAPPER.readValue(row.value(), SubmissionRow.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
