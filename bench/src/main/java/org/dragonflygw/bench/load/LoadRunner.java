package org.dragonflygw.bench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

/**
 * Runs a load plan. The targets take turns block by block, so that the state of the machine affects them alike.
 */
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

    /** Measures all targets; the results are in the order of the targets. */
    List<LoadResult> run() {
        for (LoadTarget target : plan.targets()) {
            runBlock(target, new LoadMetrics(), plan.warmUp());
        }
        List<TargetTotals> allTotals = new ArrayList<>();
        plan.targets().forEach(target -> allTotals.add(new TargetTotals(target)));
        for (int block = 0; block < plan.blocks(); block++) {
            allTotals.forEach(this::measure);
        }
        return allTotals.stream().map(TargetTotals::result).toList();
    }

    private void measure(TargetTotals totals) {
        Duration cpuBefore = cpuTime(totals.target);
        long begin = System.nanoTime();
        runBlock(totals.target, totals.metrics, plan.blockTime());
        totals.wallNanos += System.nanoTime() - begin;
        totals.cpu = totals.cpu.plus(cpuTime(totals.target)).minus(cpuBefore);
    }

    private void runBlock(LoadTarget target, LoadMetrics metrics, Duration time) {
        long arrivalNanos = System.nanoTime();
        long end = arrivalNanos + time.toNanos();
        while (arrivalNanos < end) {
            sleepUntil(arrivalNanos);
            client.open(requests.next(target), metrics, arrivalNanos);
            arrivalNanos += requests.nextGapNanos();
        }
        long drainEnd = System.nanoTime() + plan.drainTime().toNanos();
        while (metrics.openCount() > 0 && System.nanoTime() < drainEnd) {
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

    private static final class TargetTotals {
        private final LoadTarget target;
        private final LoadMetrics metrics = new LoadMetrics();
        private long wallNanos;
        private Duration cpu = Duration.ZERO;

        TargetTotals(LoadTarget target) {
            this.target = target;
        }

        LoadResult result() {
            return new LoadResult(target.name(), metrics, Duration.ofNanos(wallNanos), cpu);
        }
    }
}
