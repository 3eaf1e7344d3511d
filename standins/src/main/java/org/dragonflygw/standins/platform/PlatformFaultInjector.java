package org.dragonflygw.standins.platform;

import java.util.Random;

/** The faults in force and the counters that decide whom they hit. Safe from every thread. */
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

    /** Counts a write and decides what happens to it. */
    synchronized WriteFault nextWrite() {
        writes++;
        if (hits(faults.loseRequestEvery())) {
            return WriteFault.LOST_BEFORE;
        }
        boolean unlucky = faults.loseAnswerProbability() > 0 && random.nextDouble() < faults.loseAnswerProbability();
        return unlucky || hits(faults.loseAnswerEvery()) ? WriteFault.LOST_AFTER : WriteFault.NONE;
    }

    private boolean hits(int every) {
        return every > 0 && writes % every == 0;
    }

    /** What happens to one write. */
    enum WriteFault {
        /** It takes effect and is answered. */
        NONE,
        /** Its connection is dropped before it takes effect. */
        LOST_BEFORE,
        /** It takes effect and its connection is dropped. */
        LOST_AFTER
    }
}
