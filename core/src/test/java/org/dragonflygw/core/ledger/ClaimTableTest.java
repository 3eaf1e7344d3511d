package org.dragonflygw.core.ledger;

import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.junit.jupiter.api.Test;

@Param(name = "key", gen = IntGen.class, conf = "1:3")
@Param(name = "holder", gen = IntGen.class, conf = "1:3")
public class ClaimTableTest {
    private final ClaimTable<Integer> table = new ClaimTable<>(2);

    @Operation
    public int admit(@Param(name = "key") int key, @Param(name = "holder") int holder) {
        return table.acquire("k" + key, holder).orElse(0);
    }

    @Operation
    public boolean release(@Param(name = "key") int key, @Param(name = "holder") int holder) {
        return table.release("k" + key, holder);
    }

    @Operation
    public int size() {
        return table.size();
    }

    @Test
    public void isLinearizableUnderStress() {
        LinChecker.check(getClass(), new StressOptions().iterations(5).invocationsPerIteration(200));
    }

    @Test
    public void isLinearizableInTheModel() {
        LinChecker.check(getClass(), new ModelCheckingOptions().iterations(5).invocationsPerIteration(100));
    }
}
