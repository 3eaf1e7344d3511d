package org.dragonflygw.core.peers;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.dragonflygw.core.settings.HostAddress;
import org.junit.jupiter.api.Test;

final class ReportTargetsTest {
    private static final int PER_ROUND = 8;

    private static List<HostAddress> peers(int count) {
        List<HostAddress> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            peers.add(new HostAddress("10.0.0." + i, 7_000));
        }
        return peers;
    }

    /** Guards against hosts that start together and all report to the same few peers in each round. */
    @Test
    void hostsThatStartTogetherBeginWithDifferentPeers() {
        SplittableRandom seeds = new SplittableRandom(1);
        Set<HostAddress> firstRound = new HashSet<>();
        for (int host = 0; host < 100; host++) {
            firstRound.addAll(new ReportTargets(PER_ROUND, seeds.split()).next(peers(400)));
        }
        assertThat(firstRound.size()).isGreaterThan(200);
    }

    @Test
    void eachPeerIsReachedWithinTheRounds() {
        ReportTargets targets = new ReportTargets(PER_ROUND, new SplittableRandom(2));
        List<HostAddress> peers = peers(30);
        Set<HostAddress> reached = new HashSet<>();
        for (int i = 0; i < targets.rounds(peers.size()); i++) {
            reached.addAll(targets.next(peers));
        }
        assertThat(reached).containsExactlyElementsIn(peers);
    }

    @Test
    void aFleetOfOneHasNone() {
        assertThat(new ReportTargets(PER_ROUND, new SplittableRandom(3)).next(List.of()))
                .isEmpty();
    }
}
