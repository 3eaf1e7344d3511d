package org.dragonflygw.bench.fuzz;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Generates random steps for a run. */
public final class FuzzSteps {
    private static final int KINDS = 20;
    private static final int MAX_PAUSE_MILLIS = 40_000;
    private static final int MAX_ADVANCE_MILLIS = 5_000;

    private FuzzSteps() {}

    /** Returns a list of random steps with the given length. */
    public static List<FuzzStep> randomSteps(SplittableRandom random, int length) {
        List<FuzzStep> steps = new ArrayList<>(length);
        for (int i = 0; i < length; i++) {
            steps.add(randomStep(random));
        }
        return steps;
    }

    /** Returns one random step. */
    public static FuzzStep randomStep(SplittableRandom random) {
        int number = random.nextInt(12);
        return switch (random.nextInt(KINDS)) {
            case 0, 1, 2, 3, 4, 5 ->
                new FuzzStep.Book(
                        number, random.nextInt(4), random.nextInt(10) == 0 ? 1 : 0, 1 + random.nextInt(4) / 3);
            case 6, 7 -> new FuzzStep.Chat(number);
            case 8, 9 -> new FuzzStep.FailStore(pick(StoreFault.values(), random));
            case 10, 11, 12 -> new FuzzStep.FailEndpoint(number, pick(EndpointFault.values(), random));
            case 13 -> new FuzzStep.Pause(number, random.nextInt(MAX_PAUSE_MILLIS));
            case 14 -> new FuzzStep.Crash(number);
            case 15 -> random.nextInt(4) == 0 ? new FuzzStep.Leave(number) : new FuzzStep.Advance(1);
            case 16 -> new FuzzStep.Advance(random.nextInt(50));
            default -> new FuzzStep.Advance(random.nextInt(MAX_ADVANCE_MILLIS));
        };
    }

    private static <T> T pick(T[] values, SplittableRandom random) {
        return values[random.nextInt(values.length)];
    }
}
