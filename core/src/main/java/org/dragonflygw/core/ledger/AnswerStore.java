package org.dragonflygw.core.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.StorageException;

/**
 * Stores the bodies of answers for repeated requests: short ones inline in the submission row, longer ones in the
 * object store. Thread-safe; calls to the object store block.
 */
public final class AnswerStore {
    /** Longest body that is stored inline in a row, in bytes. */
    public static final int MAX_INLINE_BYTES = 2_048;

    private final ObjectStore objects;
    private final String deployment;

    public AnswerStore(ObjectStore objects, String deployment) {
        this.objects = objects;
        this.deployment = deployment;
    }

    /** Whether {@link #save} writes to the object store, and so blocks, for this answer. */
    public static boolean needsObject(StoredAnswer answer) {
        return answer.body()
                .filter(b -> b.length > MAX_INLINE_BYTES && b.length <= StoredAnswer.MAX_BODY_BYTES)
                .isPresent();
    }

    /**
     * Stores the body of an answer and returns the form of the answer for the row. The body is dropped when it is
     * longer than {@link StoredAnswer#MAX_BODY_BYTES} or the object store rejects it.
     */
    public EncodedAnswer save(String token, StoredAnswer answer) {
        byte[] body = answer.body().orElse(null);
        if (body == null || body.length > StoredAnswer.MAX_BODY_BYTES) {
            return encoded(answer, BodyLocation.NONE, "");
        }
        if (body.length <= MAX_INLINE_BYTES) {
            return encoded(answer, BodyLocation.ROW, Base64.getEncoder().encodeToString(body));
        }
        try {
            objects.put(SubmissionKeys.objectKey(deployment, token), body);
            return encoded(answer, BodyLocation.OBJECT, "");
        } catch (StorageException e) {
            return encoded(answer, BodyLocation.NONE, "");
        }
    }

    /**
     * Returns the answer for a repeated request, without a body if none was stored.
     *
     * @throws StorageException if the object store cannot return the body
     */
    public StoredAnswer load(String token, EncodedAnswer answer) {
        return new StoredAnswer(answer.status(), answer.headers(), body(token, answer));
    }

    private Optional<byte[]> body(String token, EncodedAnswer answer) {
        return switch (answer.location()) {
            case ROW ->
                Optional.of(Base64.getDecoder().decode(answer.inlineBody().getBytes(StandardCharsets.US_ASCII)));
            case OBJECT -> Optional.of(objects.get(SubmissionKeys.objectKey(deployment, token)));
            case NONE -> Optional.empty();
        };
    }

    private static EncodedAnswer encoded(StoredAnswer answer, BodyLocation location, String inline) {
        return new EncodedAnswer(answer.status(), answer.headers(), location, inline);
    }
}
