package org.dragonflygw.core.ledger;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.StorageException;

/** Keeps the bodies of answers: short ones within the row, longer ones in the object store. Calls may block. */
public final class AnswerStore {
    /** Longest body that is kept within a row, in bytes. */
    public static final int MAX_INLINE_BYTES = 2_048;

    private final ObjectStore objects;
    private final String deployment;

    public AnswerStore(ObjectStore objects, String deployment) {
        this.objects = objects;
        this.deployment = deployment;
    }

    /** Whether {@link #save} writes to the object store for this answer. */
    public static boolean needsObject(StoredAnswer answer) {
        return answer.body()
                .filter(b -> b.length > MAX_INLINE_BYTES && b.length <= StoredAnswer.MAX_BODY_BYTES)
                .isPresent();
    }

    /** Stores the body where it belongs. A body that the object store does not take is not kept. */
    public EncodedAnswer save(String token, StoredAnswer answer) {
        byte[] body = answer.body().orElse(null);
        if (body == null || body.length > StoredAnswer.MAX_BODY_BYTES) {
            return recorded(answer, BodyLocation.NONE, "");
        }
        if (body.length <= MAX_INLINE_BYTES) {
            return recorded(answer, BodyLocation.ROW, Base64.getEncoder().encodeToString(body));
        }
        try {
            objects.put(SubmissionKeys.objectKey(deployment, token), body);
            return recorded(answer, BodyLocation.OBJECT, "");
        } catch (StorageException e) {
            return recorded(answer, BodyLocation.NONE, "");
        }
    }

    /** The answer for a repeat; without a body when it was not kept. Throws {@link StorageException}. */
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

    private static EncodedAnswer recorded(StoredAnswer answer, BodyLocation location, String inline) {
        return new EncodedAnswer(answer.status(), answer.headers(), location, inline);
    }
}
