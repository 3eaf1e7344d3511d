package org.dragonflygw.standins.platform;

import java.util.Random;

/** Holds the current faults and counts writes to decide which ones fail. Thread-safe. */
final class PlatformFaultInjector {
    private PlatformFaults faults = PlatformFaults.NONE;
    private Random random = new Random(0);
    private long writes;

    synchronized PlatformFaults current() {
        return faults;
    }

    synchronized void set(PlatformFaults newFaults) {
        faults = newFaults;
        random = new Random(newFaults.seed());
        writes = 0;
    }

    /** Counts a write and returns the fault to inject into it. */
    synchronized WriteFault nextWrite() {
        writes++;
        if (hits(faults.loseRequestEvery())) {
            return WriteFault.LOST_BEFORE;
        }
        boolean drawn = faults.loseAnswerProbability() > 0 && random.nextDouble() < faults.loseAnswerProbability();
        return drawn || hits(faults.loseAnswerEvery()) ? WriteFault.LOST_AFTER : WriteFault.NONE;
    }

    private boolean hits(int every) {
        return every > 0 && writes % every == 0;
    }

    /** Fault injected into one write. */
    enum WriteFault {
        /** The write takes effect and is answered. */
        NONE,
        /** The connection is dropped before the write takes effect. */
        LOST_BEFORE,
        /** The write takes effect, then the connection is dropped without a response. */
        LOST_AFTER
    }
}
