package org.dragonflygw.core.ledger;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.ObjectStore;
import org.dragonflygw.core.storage.StorageException;
import org.dragonflygw.core.storage.TableRow;
import org.dragonflygw.core.storage.TableStore;

/**
 * Deletes submissions that are older than the retention time, one page of rows for each call, bucket by bucket.
 * Sweepers of several daemons may work on the same bucket, because a row is deleted only at the version that was read.
 * Not thread-safe.
 */
public final class RetentionSweeper {
    /** Largest number of rows that one scan reads and one transaction deletes. */
    public static final int PAGE_ROWS = 100;

    private static final byte[] NO_CONTENT = new byte[0];

    private final TableStore store;
    private final ObjectStore objects;
    private final InstantSource clock;
    private final String deployment;
    private final long retentionMillis;
    private int bucket;
    private String afterKey = "";

    /** Creates a sweeper that starts at the given bucket, so that several daemons can start at different ones. */
    public RetentionSweeper(
            TableStore store,
            ObjectStore objects,
            InstantSource clock,
            String deployment,
            long retentionMillis,
            int firstBucket) {
        this.store = store;
        this.objects = objects;
        this.clock = clock;
        this.deployment = deployment;
        this.retentionMillis = retentionMillis;
        this.bucket = firstBucket;
    }

    /** Reads the next page and deletes its expired rows, blocking; returns the number of rows deleted. */
    public int sweepPage() {
        String prefix = SubmissionKeys.bucketPrefix(deployment, bucket);
        List<TableRow> page = store.scan(SubmissionKeys.TABLE, prefix, afterKey, PAGE_ROWS);
        List<Mutation> deletes = new ArrayList<>();
        for (TableRow row : page) {
            if (isExpired(row)) {
                deletes.add(Mutation.delete(SubmissionKeys.TABLE, row.key(), row.version()));
            }
        }
        if (page.size() < PAGE_ROWS) {
            bucket = (bucket + 1) % SubmissionKeys.BUCKETS;
            afterKey = "";
        } else {
            afterKey = page.get(page.size() - 1).key();
        }
        return deletes.isEmpty() || !store.commit(deletes).committed() ? 0 : deletes.size();
    }

    private boolean isExpired(TableRow row) {
        return SubmissionCodec.decode(row)
                .filter(s -> clock.millis() - s.claimedAtMillis() >= retentionMillis)
                .filter(this::clearObject)
                .isPresent();
    }

    private boolean clearObject(SubmissionRow submission) {
        boolean inObject = submission
                .answer()
                .filter(a -> a.location() == BodyLocation.OBJECT)
                .isPresent();
        if (!inObject) {
            return true;
        }
        try {
            objects.put(SubmissionKeys.objectKey(deployment, submission.token()), NO_CONTENT);
            return true;
        } catch (StorageException e) {
            return false;
        }
    }
}
