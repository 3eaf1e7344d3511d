package org.dragonflygw.core.config;

import java.time.InstantSource;
import java.util.Optional;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.timeline.EventRecorder;
import org.dragonflygw.core.timeline.EventSubject;
import org.dragonflygw.core.timeline.EventType;

/**
 * Makes a sheet the accepted configuration, against racing operators and lost answers of the store. A lost answer is
 * resolved by the same conditional commit again and not by a read: if the first took effect the second conflicts with the
 * row of its own token, and if the second takes effect the first no longer can. A read may be old and proves neither.
 */
public final class ConfigPublisher {
    private static final int MAX_TRIES = 4;

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
     * @param expectedNumber number of the version that the operator means to replace; 0 for the first
     * @param token names this apply; the same in each repetition
     * @param operator who applies
     * @throws ConfigException when the store gave no decision
     */
    public ApplyResult apply(byte[] content, long expectedNumber, String token, String operator) {
        SheetReadResult reading = reader.read(content);
        if (!reading.isValid()) {
            return new ApplyResult.Invalid(reading);
        }
        AppliedVersion proposed = new AppliedVersion(
                expectedNumber + 1,
                SheetDigest.of(content),
                token,
                operator,
                clock.instant().toEpochMilli());
        events.record(EventType.SHEET_PROPOSED, EventSubject.NONE, describe(proposed));
        writeContent(proposed, content);
        return decide(proposed, reading.sheet().orElseThrow(), commit(proposed));
    }

    private void writeContent(AppliedVersion proposed, byte[] content) {
        StorageException last = null;
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                store.writeContent(proposed.digest(), content);
                return;
            } catch (StorageException e) {
                last = e;
            }
            if (!last.outcomeUnknown()) {
                break;
            }
        }
        throw new ConfigException(ConfigCode.NOT_APPLIED, "the content could not be stored", last);
    }

    private CommitResult commit(AppliedVersion proposed) {
        boolean mayHaveTakenEffect = false;
        StorageException last = null;
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                return store.commit(proposed);
            } catch (StorageException e) {
                mayHaveTakenEffect |= e.outcomeUnknown();
                last = e;
            }
            if (!mayHaveTakenEffect) {
                throw new ConfigException(ConfigCode.NOT_APPLIED, "the version row could not be written", last);
            }
        }
        throw new ConfigException(
                ConfigCode.OUTCOME_UNKNOWN,
                "the store's answer was lost; apply again with token " + proposed.token(),
                last);
    }

    private ApplyResult decide(AppliedVersion proposed, Sheet sheet, CommitResult result) {
        if (result.committed()) {
            return accepted(proposed);
        }
        Optional<AppliedVersion> earlier = store.earlierApply(result, proposed.token());
        if (earlier.isPresent()) {
            if (!earlier.get().digest().equals(proposed.digest())) {
                throw new ConfigException(
                        ConfigCode.TOKEN_REUSED, "token " + proposed.token() + " names another sheet");
            }
            return accepted(earlier.get());
        }
        Optional<AppliedVersion> winner = store.winner(result);
        events.record(EventType.SHEET_CONFLICT, EventSubject.NONE, describe(proposed));
        return new ApplyResult.Conflict(winner, diff(winner, sheet));
    }

    private ApplyResult accepted(AppliedVersion version) {
        events.record(EventType.SHEET_ACCEPTED, EventSubject.NONE, describe(version));
        return new ApplyResult.Accepted(version);
    }

    private Optional<SheetDiff> diff(Optional<AppliedVersion> winner, Sheet proposed) {
        if (winner.isEmpty()) {
            return Optional.of(SheetDiff.between(Sheet.EMPTY, proposed));
        }
        try {
            SheetReadResult reading = reader.read(store.readContent(winner.get().digest()));
            return reading.sheet().map(accepted -> SheetDiff.between(accepted, proposed));
        } catch (ConfigException e) {
            return Optional.empty();
        }
    }

    private static String describe(AppliedVersion version) {
        return "version " + version.number() + ", digest " + version.digest() + ", operator " + version.operator();
    }
}
