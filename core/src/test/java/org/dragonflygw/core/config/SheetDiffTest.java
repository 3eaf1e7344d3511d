package org.dragonflygw.core.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SheetDiffTest {
    private final Sheet base = Sheets.sheet(2, 3);

    @Nested
    class Between {
        @Test
        void isEmptyForSheetsThatDifferOnlyInOrder() {
            Sheet reordered = new Sheet(
                    List.of(base.teams().get(1), base.teams().get(0)),
                    base.services(),
                    base.rules(),
                    base.placements());
            assertThat(SheetDiff.between(base, reordered).isEmpty()).isTrue();
        }

        @Test
        void listsAddedRemovedAndChangedRows() {
            Team first = base.teams().get(0);
            Team changed = new Team(first.name(), first.keySha256(), 9, 0, 0);
            Sheet after = new Sheet(
                    List.of(changed),
                    base.services(),
                    List.of(
                            new RoutingRule("team-0", "m", "chat", 7),
                            base.rules().get(0)),
                    base.placements());
            assertThat(SheetDiff.between(base, after).changes())
                    .containsExactly(
                            new RowChange(ChangeType.REMOVED, RowKind.TEAM, "team-1", List.of()),
                            new RowChange(
                                    ChangeType.CHANGED,
                                    RowKind.TEAM,
                                    "team-0",
                                    List.of(new CellChange(SheetColumn.WEIGHT, "3", "9"))),
                            new RowChange(ChangeType.ADDED, RowKind.RULE, "team-0 / m", List.of()))
                    .inOrder();
        }
    }
}
