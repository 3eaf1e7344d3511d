package org.dragonflygw.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.dragonflygw.core.fleet.Endpoint;
import org.dragonflygw.core.routing.AttemptOutcome;

/** A single-threaded loop of events over fake engines and one policy, on a test clock. */
final class PolicyLoop {
    static final long TICK_MILLIS = 100;
    static final double LOAD_BOUND = 1.25;
    private static final long FAIL_AFTER_MILLIS = 30;
    private static final long CRASH_AFTER_MILLIS = 200;
    private static final long RESTART_MILLIS = 20_000;
    private static final int POISON_SENDS = 100;
    private static final long POISON_SPACING_MILLIS = 1_000;
    private static final int POISON_BATCH = 10;
    private static final long POISON_ID = 999_999_999_999L;

    private final LoopClock clock = new LoopClock();
    private final Scenario scenario;
    private final WorkloadShape shape;
    private final int cacheTokens;
    private final RunResult result;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<FakeEngine> engines = new ArrayList<>();
    private final Set<Running> running = new LinkedHashSet<>();
    private final Map<String, FakeEngine> byId = new HashMap<>();
    private final Random random;
    private Policy policy;
    private long eventNumber;
    private int nextEngine;

    PolicyLoop(Scenario scenario, WorkloadShape shape, int cacheTokens, long seed) {
        this.scenario = scenario;
        this.shape = shape;
        this.cacheTokens = cacheTokens;
        this.result = new RunResult(shape.weights().size());
        this.random = new Random(seed);
        for (int i = 0; i < scenario.engines(); i++) {
            addEngine();
        }
    }

    LoopClock clock() {
        return clock;
    }

    Scenario scenario() {
        return scenario;
    }

    WorkloadShape shape() {
        return shape;
    }

    RunResult result() {
        return result;
    }

    /** Engines that take new work. */
    List<FakeEngine> liveEngines() {
        return engines.stream().filter(engine -> !engine.isLeaving()).toList();
    }

    List<Endpoint> endpoints() {
        return engines.stream().map(FakeEngine::endpoint).toList();
    }

    Optional<FakeEngine> engine(String id) {
        return Optional.ofNullable(byId.get(id));
    }

    /** Runs the work under a policy. */
    RunResult run(List<Arrival> arrivals, Policy newPolicy) {
        policy = newPolicy;
        policy.onEnginesChanged();
        schedulePlan();
        int next = 0;
        while (next < arrivals.size() || !events.isEmpty()) {
            boolean arrivalFirst = next < arrivals.size()
                    && (events.isEmpty() || arrivals.get(next).atMillis() <= events.peek().at);
            if (arrivalFirst) {
                Arrival arrival = arrivals.get(next++);
                clock.set(Math.max(clock.now(), arrival.atMillis()));
                arrive(arrival);
                continue;
            }
            Event event = events.poll();
            if (event.at > scenario.durationMillis() + 60_000) {
                break;
            }
            clock.set(event.at);
            event.action.run();
        }
        return result;
    }

    /** Runs an action later. */
    void schedule(long at, Runnable action) {
        events.add(new Event(at, eventNumber++, action));
    }

    /** Sends an attempt to an engine. */
    void dispatch(Attempt attempt, FakeEngine engine) {
        long now = clock.now();
        attempt.dispatched();
        checkBound(engine);
        if (measured(attempt)) {
            result.attempts++;
        }
        if (engine.isDown(now)) {
            schedule(now + 1, () -> end(attempt, engine, AttemptOutcome.UNREACHABLE));
            return;
        }
        if (engine.isFailing()) {
            schedule(now + FAIL_AFTER_MILLIS, () -> end(attempt, engine, AttemptOutcome.FAILED));
            return;
        }
        if (!engine.hasRoom()) {
            engine.waiting().addLast(attempt);
            return;
        }
        start(attempt, engine);
    }

    private void checkBound(FakeEngine engine) {
        if (clock.now() < scenario.warmUpMillis()) {
            return;
        }
        int sum = 0;
        int count = 0;
        for (FakeEngine each : engines) {
            if (takesWork(each)) {
                sum += each.inFlight();
                count++;
            }
        }
        double mean = count == 0 ? 0 : (double) sum / count;
        result.placed(engine.inFlight() + 1 - (LOAD_BOUND * mean + 1));
    }

    private boolean takesWork(FakeEngine engine) {
        return !engine.isLeaving() && !engine.isFailing() && !engine.isDown(clock.now());
    }

    /** Gives up on a request. */
    void refuse(Attempt attempt, String reason) {
        if (measured(attempt)) {
            result.refused(reason);
            if (attempt.arrival().team() != shape.surgingTeam()) {
                result.refusedOfOthers++;
            }
        }
    }

    private void arrive(Arrival arrival) {
        Attempt attempt = new Attempt(arrival, random.nextInt(scenario.routers()));
        result.arrivals++;
        if (measured(attempt)) {
            result.requests++;
            result.askedOfTeam[arrival.team()]++;
        }
        policy.submit(attempt);
    }

    private void start(Attempt attempt, FakeEngine engine) {
        engine.start(attempt, clock.now());
        int generation = attempt.generation();
        if (attempt.arrival().id() == POISON_ID) {
            schedule(clock.now() + CRASH_AFTER_MILLIS, () -> crash(engine));
        }
        running.add(new Running(attempt, engine, generation));
        schedule(attempt.endAt(), () -> {
            if (attempt.generation() == generation && running.remove(new Running(attempt, engine, generation))) {
                engine.finish();
                end(attempt, engine, AttemptOutcome.COMPLETED);
                startWaiting(engine);
            }
        });
    }

    private void startWaiting(FakeEngine engine) {
        while (engine.hasRoom() && !engine.waiting().isEmpty()) {
            start(engine.waiting().removeFirst(), engine);
        }
    }

    private void crash(FakeEngine engine) {
        if (engine.isDown(clock.now())) {
            return;
        }
        result.enginesLost++;
        List<Attempt> victims = new ArrayList<>(engine.waiting());
        running.stream().filter(each -> each.engine == engine).forEach(each -> victims.add(each.attempt));
        running.removeIf(each -> each.engine == engine);
        engine.crash(clock.now() + RESTART_MILLIS);
        victims.forEach(attempt -> end(attempt, engine, AttemptOutcome.ENDPOINT_LOST));
    }

    private void end(Attempt attempt, FakeEngine engine, AttemptOutcome outcome) {
        policy.onEnd(attempt, engine, outcome);
        if (outcome == AttemptOutcome.COMPLETED) {
            completed(attempt);
            return;
        }
        if (policy.mayRetry(attempt, outcome)) {
            attempt.retry(engine.id(), outcome == AttemptOutcome.ENDPOINT_LOST);
            policy.submit(attempt);
            return;
        }
        if (measured(attempt)) {
            result.failed++;
        }
    }

    private void completed(Attempt attempt) {
        if (!measured(attempt)) {
            return;
        }
        Arrival arrival = attempt.arrival();
        long ttft = Math.max(0, attempt.firstTokenAt() - arrival.atMillis());
        boolean late = attempt.endAt() - arrival.atMillis() > arrival.deadlineMillis();
        boolean surging = arrival.team() == shape.surgingTeam();
        result.completed++;
        result.servedOfTeam[arrival.team()]++;
        result.firstToken.recordValue(Math.min(600_000, ttft));
        (surging ? result.firstTokenOfSurging : result.firstTokenOfOthers).recordValue(Math.min(600_000, ttft));
        result.late += late ? 1 : 0;
        result.lateOfOthers += late && !surging ? 1 : 0;
        result.reusedTokens += attempt.reused();
        result.reusableTokens += arrival.documentTokens() + arrival.historyTokens();
    }

    private boolean measured(Attempt attempt) {
        long at = attempt.arrival().atMillis();
        return at >= scenario.warmUpMillis() && at < scenario.durationMillis();
    }

    private void schedulePlan() {
        for (long at = TICK_MILLIS; at <= scenario.durationMillis(); at += TICK_MILLIS) {
            schedule(at, this::tick);
        }
        long every = scenario.replaceEveryMillis();
        for (long at = every; every > 0 && at < scenario.durationMillis(); at += every) {
            schedule(at, this::replaceOldest);
        }
        if (scenario.failFromMillis() > 0) {
            schedule(scenario.failFromMillis(), () -> failThird(true));
            schedule(scenario.failUntilMillis(), () -> failThird(false));
        }
        if (scenario.poisonAtMillis() > 0) {
            for (int i = 0; i < POISON_SENDS; i++) {
                long at = scenario.poisonAtMillis() + i / POISON_BATCH * POISON_SPACING_MILLIS;
                schedule(at, () -> arrive(new Arrival(at, POISON_ID, 0, POISON_ID, 0, 1_000, 0, 500, 200, 30_000)));
            }
        }
    }

    private void tick() {
        policy.tick(clock.now());
        if (clock.now() < scenario.warmUpMillis()) {
            return;
        }
        int max = 0;
        int sum = 0;
        int count = 0;
        for (FakeEngine engine : engines) {
            if (takesWork(engine)) {
                max = Math.max(max, engine.inFlight());
                sum += engine.inFlight();
                count++;
            }
        }
        result.sampleLoads(max, count == 0 ? 0 : (double) sum / count, LOAD_BOUND);
    }

    private void replaceOldest() {
        engines.stream().filter(engine -> !engine.isLeaving()).findFirst().ifPresent(FakeEngine::leave);
        engines.removeIf(engine -> engine.isLeaving() && engine.inFlight() == 0);
        addEngine();
        policy.onEnginesChanged();
    }

    private void failThird(boolean failing) {
        for (int i = 0; i < engines.size(); i += 3) {
            engines.get(i).setFailing(failing);
        }
    }

    private void addEngine() {
        FakeEngine engine = new FakeEngine("engine-" + nextEngine++, cacheTokens);
        engines.add(engine);
        byId.put(engine.id(), engine);
    }

    private record Running(Attempt attempt, FakeEngine engine, int generation) {}

    private record Event(long at, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(number, other.number);
        }
    }
}
