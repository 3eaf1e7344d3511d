package org.dragonflygw.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/** Runs a plan: the targets in turn, block by block, so that both see the same state of the machine. */
final class LoadRunner {
    private static final long POLL_NANOS = 5_000_000;

    private final LoadPlan plan;
    private final StreamClient client;
    private final RequestGenerator requests;

    LoadRunner(LoadPlan plan, StreamClient client) {
        this.plan = plan;
        this.client = client;
        this.requests = new RequestGenerator(plan);
    }

    /** Measures all targets; results are in their order. */
    List<LoadResult> run() {
        for (LoadTarget target : plan.targets()) {
            block(target, new LoadMetrics(), plan.warmUp());
        }
        List<Tally> tallies = new ArrayList<>();
        plan.targets().forEach(target -> tallies.add(new Tally(target)));
        for (int block = 0; block < plan.blocks(); block++) {
            tallies.forEach(this::measure);
        }
        return tallies.stream().map(Tally::result).toList();
    }

    private void measure(Tally tally) {
        Duration cpuBefore = cpuTime(tally.target);
        long begin = System.nanoTime();
        block(tally.target, tally.record, plan.blockTime());
        tally.wallNanos += System.nanoTime() - begin;
        tally.cpu = tally.cpu.plus(cpuTime(tally.target)).minus(cpuBefore);
    }

    private void block(LoadTarget target, LoadMetrics record, Duration time) {
        long planned = System.nanoTime();
        long end = planned + time.toNanos();
        while (planned < end) {
            sleepUntil(planned);
            client.open(requests.next(target), record, planned);
            planned += requests.nextGapNanos();
        }
        long drainEnd = System.nanoTime() + plan.drainTime().toNanos();
        while (record.openCount() > 0 && System.nanoTime() < drainEnd) {
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    private static void sleepUntil(long nanos) {
        long left = nanos - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = nanos - System.nanoTime();
        }
    }

    private static Duration cpuTime(LoadTarget target) {
        return target.pid()
                .flatMap(ProcessHandle::of)
                .flatMap(process -> process.info().totalCpuDuration())
                .orElse(Duration.ZERO);
    }

    private static final class Tally {
        private final LoadTarget target;
        private final LoadMetrics record = new LoadMetrics();
        private long wallNanos;
        private Duration cpu = Duration.ZERO;

        Tally(LoadTarget target) {
            this.target = target;
        }

        LoadResult result() {
            return new LoadResult(target.name(), record, Duration.ofNanos(wallNanos), cpu);
        }
    }
}
