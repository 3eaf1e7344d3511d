package org.dragonflygw.core.ledger;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.ledger.ScriptedStore.Fault;
import org.dragonflygw.core.storage.Mutation;
import org.dragonflygw.core.storage.StorageCode;
import org.dragonflygw.core.storage.TableRow;
import org.junit.jupiter.api.Test;

final class GroupCommitterTest {
    private final LedgerFixture bench = new LedgerFixture();
    private final GroupCommitter committer =
            new GroupCommitter(bench.store, bench.clock, new CommitLimits(10, 100, 3, 200), () -> {});
    private final List<String> results = new ArrayList<>();

    private void write(String key, String value) {
        committer.write(Mutation.insert("t", key, value), new WriteListener() {
            @Override
            public boolean isWanted() {
                return true;
            }

            @Override
            public void onWritten(long version) {
                results.add(key + " written " + version);
            }

            @Override
            public void onConflict(TableRow current) {
                results.add(key + " conflict " + current.value());
            }

            @Override
            public void onFailed(StorageCode code) {
                results.add(key + " " + code);
            }
        });
    }

    @Test
    void commitsManyWritesInOneTransaction() {
        write("a", "1");
        write("b", "2");
        assertThat(committer.flush()).isEqualTo(2);
        assertThat(results).containsExactly("a written 1", "b written 1");
        assertThat(bench.store.commits).isEqualTo(1);
    }

    @Test
    void takesOneConflictOutAndCommitsTheRest() {
        write("b", "0");
        committer.flush();
        results.clear();
        write("a", "1");
        write("b", "2");
        write("c", "3");
        committer.flush();
        assertThat(results).containsExactly("b conflict 0", "a written 1", "c written 1");
    }

    @Test
    void findsItsOwnWritesAfterALostAnswer() {
        bench.store.faults.add(Fault.ANSWER_LOST);
        write("a", "1");
        write("b", "2");
        committer.flush();
        assertThat(results).containsExactly("a written 1", "b written 1");
    }

    @Test
    void keepsTwoWritesOfOneRowApart() {
        write("a", "1");
        write("a", "2");
        committer.flush();
        committer.flush();
        assertThat(results).containsExactly("a written 1", "a conflict 1").inOrder();
    }

    @Test
    void saysUnknownOnlyWhenAWriteMayHaveTakenEffect() {
        bench.store.faults.addAll(List.of(Fault.LOST, Fault.UNAVAILABLE));
        write("a", "1");
        committer.flush();
        bench.advance(200);
        bench.store.faults.add(Fault.UNAVAILABLE);
        write("b", "1");
        committer.flush();
        assertThat(results).containsExactly("a OUTCOME_UNKNOWN", "b UNAVAILABLE");
    }

    @Test
    void keepsThrottledWritesInTheQueue() {
        bench.store.faults.add(Fault.THROTTLED);
        write("a", "1");
        committer.flush();
        assertThat(committer.flush()).isEqualTo(0);
        bench.advance(200);
        committer.flush();
        assertThat(results).containsExactly("a written 1");
    }

    @Test
    void failsWritesAtOnceAfterTheServiceWasDown() {
        bench.store.always = Fault.UNAVAILABLE;
        write("a", "1");
        committer.flush();
        write("b", "1");
        assertThat(results).containsExactly("a UNAVAILABLE", "b UNAVAILABLE");
        assertThat(bench.store.commits).isEqualTo(1);
    }
}
