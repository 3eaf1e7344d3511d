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
 * The stored configuration of one deployment: the version row and one row for each used token in the table store, and
 * the contents of sheets by digest in the object store. Only {@link #commit} writes the version row, once for each
 * accepted sheet, so its row version equals the number of the sheet.
 */
public final class ConfigStore {
    /** Table that holds the version row and the rows of used tokens. */
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

    /**
     * Reads the version row, which may be stale.
     *
     * @return the row; empty before the first accepted sheet
     * @throws ConfigException if the store cannot be read or the row cannot be parsed
     */
    public Optional<AppliedVersion> readVersion() {
        try {
            return tables.read(TABLE, versionKey).map(ConfigStore::decode);
        } catch (StorageException e) {
            throw new ConfigException(ConfigCode.STORE_UNAVAILABLE, "cannot read the version row", e);
        }
    }

    /**
     * Reads the content of a sheet by its digest and verifies the digest.
     *
     * @throws ConfigException if the store cannot be read or the content has another digest
     */
    public byte[] readContent(String digest) {
        byte[] content;
        try {
            content = objects.get(SheetDigest.objectKey(digest));
        } catch (StorageException e) {
            throw new ConfigException(ConfigCode.STORE_UNAVAILABLE, "cannot read sheet " + digest, e);
        }
        if (!SheetDigest.of(content).equals(digest)) {
            throw new ConfigException(
                    ConfigCode.MALFORMED, "content of sheet " + digest + " does not match the digest");
        }
        return content;
    }

    /**
     * Writes the content of a sheet under its digest.
     *
     * @throws StorageException if the write failed or its outcome is unknown
     */
    void writeContent(String digest, byte[] content) {
        objects.put(SheetDigest.objectKey(digest), content);
    }

    /**
     * Replaces the version before the proposed one and marks the proposed token as used, in one transaction.
     *
     * @throws StorageException if the transaction failed or its outcome is unknown
     */
    CommitResult commit(AppliedVersion proposed) {
        String value = encode(proposed);
        return tables.commit(List.of(
                Mutation.replace(TABLE, versionKey, proposed.number() - 1, value),
                Mutation.insert(TABLE, tokenPrefix + proposed.token(), value)));
    }

    /** The earlier apply with the same token, if the commit conflicted with one. */
    Optional<AppliedVersion> earlierApply(CommitResult result, String token) {
        return conflict(result, tokenPrefix + token);
    }

    /** The accepted version that the commit conflicted with, if any. */
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
            throw new IllegalStateException("cannot serialize version row", e);
        }
    }

    private static AppliedVersion decode(TableRow row) {
        try {
            Row read = JSON.readValue(row.value(), Row.class);
            if (read.number() < 1 || read.digest() == null) {
                throw new ConfigException(
                        ConfigCode.MALFORMED, "row " + row.key() + " has no version number or digest");
            }
            return new AppliedVersion(
                    read.number(), read.digest(), read.token(), read.operator(), read.appliedAtMillis());
        } catch (JsonProcessingException e) {
            throw new ConfigException(ConfigCode.MALFORMED, "row " + row.key() + " is not a valid version row", e);
        }
    }

    private record Row(long number, String digest, String token, String operator, long appliedAtMillis) {}
}
