package org.dragonflygw.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Optional;
import org.dragonflygw.core.storage.CommitResult;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.TableStore;

/**
 * The configuration of one deployment in the platform's service: the version row, one row for each used token, and
 * contents by digest. The version row is written by {@link #commit} only, once for each accepted sheet, so its row version
 * equals the number of the sheet.
 */
public final class ConfigStore {
    /** Table of the version row and the tokens. */
    public static final String TABLE = "config";

    private static final ObjectMapper JSON = new ObjectMapper();

    private final TableStore tables;
    private final ObjectStore objects;
    private final String versionKey;
    private final String tokenPrefix;

    public ConfigStore(TableStore tables, ObjectStore objects, String deployment) {
        this.tables = tables;
        this.objects = objects;
        versionKey = deployment + "/sheet";
        tokenPrefix = deployment + "/applies/";
    }

    /** Reads the version row; it may be an old one. Empty before the first accepted sheet. */
    public Optional<AppliedVersion> readVersion() {
        try {
            return tables.read(TABLE, versionKey).map(ConfigStore::decode);
        } catch (StorageException e) {
            throw new ConfigException(ConfigCode.STORE_UNAVAILABLE, "cannot read the version row", e);
        }
    }

    /** Reads content by digest and verifies it. */
    public byte[] readContent(String digest) {
        byte[] content;
        try {
            content = objects.get(SheetDigest.objectKey(digest));
        } catch (StorageException e) {
            throw new ConfigException(ConfigCode.STORE_UNAVAILABLE, "cannot read sheet " + digest, e);
        }
        if (!SheetDigest.of(content).equals(digest)) {
            throw new ConfigException(ConfigCode.MALFORMED, "content of sheet " + digest + " has another digest");
        }
        return content;
    }

    /** Writes content under its digest; throws {@link StorageException}. */
    void writeContent(String digest, byte[] content) {
        objects.put(SheetDigest.objectKey(digest), content);
    }

    /** Replaces the version before the proposed one and marks its token as used, or neither; throws {@link StorageException}. */
    CommitResult commit(AppliedVersion proposed) {
        String value = encode(proposed);
        return tables.commit(List.of(
                Mutation.replace(TABLE, versionKey, proposed.number() - 1, value),
                Mutation.insert(TABLE, tokenPrefix + proposed.token(), value)));
    }

    /** The apply that used the token before, from the conflicts of a commit. */
    Optional<AppliedVersion> earlierApply(CommitResult result, String token) {
        return conflict(result, tokenPrefix + token);
    }

    /** The version that won, from the conflicts of a commit. */
    Optional<AppliedVersion> winner(CommitResult result) {
        return conflict(result, versionKey);
    }

    private static Optional<AppliedVersion> conflict(CommitResult result, String key) {
        return result.conflicts().stream()
                .filter(row -> row.key().equals(key) && row.version() > 0)
                .findFirst()
                .map(ConfigStore::decode);
    }

    private static String encode(AppliedVersion version) {
        try {
            return JSON.writeValueAsString(new Row(
                    version.number(),
                    version.digest(),
                    version.token(),
                    version.operator(),
                    version.appliedAtMillis()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a version row can always be written", e);
        }
    }

    private static AppliedVersion decode(TableRow row) {
        try {
            Row read = JSON.readValue(row.value(), Row.class);
            if (read.number() < 1 || read.digest() == null) {
                throw new ConfigException(ConfigCode.MALFORMED, "row " + row.key() + " names no version");
            }
            return new AppliedVersion(
                    read.number(), read.digest(), read.token(), read.operator(), read.appliedAtMillis());
        } catch (JsonProcessingException e) {
            throw new ConfigException(ConfigCode.MALFORMED, "row " + row.key() + " is not a version", e);
        }
    }

    private record Row(long number, String digest, String token, String operator, long appliedAtMillis) {}
}
