package org.dragonflygw.core.config;

import java.time.InstantSource;
import java.util.Optional;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Makes a sheet the accepted configuration. Handles concurrent applies by several operators and lost responses of the
 * store.
 *
 * <p>After a lost response, the same conditional commit is sent again instead of reading the row. If the first commit
 * took effect, the second one conflicts with the row of its own token; if the second one takes effect, the first one no
 * longer can. A read may be stale and would prove neither.
 */
public final class ConfigPublisher {
    /** Maximum number of times that one write is sent to the store. */
    private static final int MAX_ATTEMPTS = 4;

    private final ConfigStore store;
    private final SheetReader reader;
    private final InstantSource clock;
    private final EventRecorder events;

    public ConfigPublisher(ConfigStore store, SheetReader reader, InstantSource clock, EventRecorder events) {
        this.store = store;
        this.reader = reader;
        this.clock = clock;
        this.events = events;
    }

    /**
     * Applies a sheet.
     *
     * @param content bytes of the sheet
     * @param expectedNumber number of the version that the operator expects to replace; 0 for the first sheet
     * @param token idempotency token of this apply; must be the same in each retry
     * @param operator operator who applies the sheet
     * @throws ConfigException if the store could not be reached, the outcome is unknown, or the token was used for
     *     another sheet
     */
    public ApplyResult apply(byte[] content, long expectedNumber, String token, String operator) {
        SheetReadResult readResult = reader.read(content);
        if (!readResult.isValid()) {
            return new ApplyResult.Invalid(readResult);
        }
        AppliedVersion proposed = new AppliedVersion(
                expectedNumber + 1,
                SheetDigest.of(content),
                token,
                operator,
                clock.instant().toEpochMilli());
        events.record(EventType.SHEET_PROPOSED, EventSubject.NONE, describe(proposed));
        writeContent(proposed, content);
        return resolve(proposed, readResult.sheet().orElseThrow(), commit(proposed));
    }

    private void writeContent(AppliedVersion proposed, byte[] content) {
        StorageException lastFailure = null;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                store.writeContent(proposed.digest(), content);
                return;
            } catch (StorageException e) {
                lastFailure = e;
            }
            if (!lastFailure.outcomeUnknown()) {
                break;
            }
        }
        throw new ConfigException(
                ConfigCode.NOT_APPLIED, "cannot store content of sheet " + proposed.digest(), lastFailure);
    }

    private CommitResult commit(AppliedVersion proposed) {
        boolean mayHaveTakenEffect = false;
        StorageException lastFailure = null;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                return store.commit(proposed);
            } catch (StorageException e) {
                mayHaveTakenEffect |= e.outcomeUnknown();
                lastFailure = e;
            }
            if (!mayHaveTakenEffect) {
                throw new ConfigException(
                        ConfigCode.NOT_APPLIED,
                        "cannot write the version row of version " + proposed.number(),
                        lastFailure);
            }
        }
        throw new ConfigException(
                ConfigCode.OUTCOME_UNKNOWN,
                "the store's response was lost and the outcome is unknown; apply again with token " + proposed.token(),
                lastFailure);
    }

    private ApplyResult resolve(AppliedVersion proposed, Sheet sheet, CommitResult result) {
        if (result.committed()) {
            return recordAccepted(proposed);
        }
        Optional<AppliedVersion> earlierApply = store.earlierApply(result, proposed.token());
        if (earlierApply.isPresent()) {
            if (!earlierApply.get().digest().equals(proposed.digest())) {
                throw new ConfigException(
                        ConfigCode.TOKEN_REUSED, "token " + proposed.token() + " was already used for another sheet");
            }
            return recordAccepted(earlierApply.get());
        }
        Optional<AppliedVersion> winner = store.winner(result);
        events.record(EventType.SHEET_CONFLICT, EventSubject.NONE, describe(proposed));
        return new ApplyResult.Conflict(winner, diff(winner, sheet));
    }

    private ApplyResult recordAccepted(AppliedVersion version) {
        events.record(EventType.SHEET_ACCEPTED, EventSubject.NONE, describe(version));
        return new ApplyResult.Accepted(version);
    }

    private Optional<SheetDiff> diff(Optional<AppliedVersion> winner, Sheet proposed) {
        if (winner.isEmpty()) {
            return Optional.of(SheetDiff.between(Sheet.EMPTY, proposed));
        }
        try {
            SheetReadResult readResult =
                    reader.read(store.readContent(winner.get().digest()));
            return readResult.sheet().map(accepted -> SheetDiff.between(accepted, proposed));
        } catch (ConfigException e) {
            return Optional.empty();
        }
    }

    private static String describe(AppliedVersion version) {
        return "version " + version.number() + ", digest " + version.digest() + ", operator " + version.operator();
    }
}
