package org.dragonflygw.bench.load;

import java.util.List;
import java.util.SplittableRandom;

/** Makes requests on a few shared prompts; the same seed gives the same requests. */
final class RequestGenerator {
    private static final int CHATS = 100_000;
    private static final int HEX = 16;

    private final LoadPlan plan;
    private final SplittableRandom random;
    private final List<String> prompts;
    private long made;

    RequestGenerator(LoadPlan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        this.prompts = java.util.stream.IntStream.range(0, plan.sharedPrompts())
                .mapToObj(index -> prompt(index, plan.promptBytes()))
                .toList();
    }

    /** The next request to a target. */
    StreamRequest next(LoadTarget target) {
        long number = made++;
        int prompt = random.nextInt(prompts.size());
        String body = "{\"model\":\"" + plan.model() + "\",\"stream\":true,\"max_tokens\":" + plan.tokens()
                + ",\"messages\":[{\"role\":\"system\",\"content\":\"" + prompts.get(prompt)
                + "\"},{\"role\":\"user\",\"content\":\"question " + number + "\"}]}";
        return new StreamRequest(
                target.urls().get((int) (number % target.urls().size())),
                "load-" + Long.toString(System.nanoTime(), Character.MAX_RADIX) + "-" + number,
                "chat-" + random.nextInt(CHATS),
                Integer.toString(prompt + 1, HEX),
                plan.teamKey(),
                body,
                plan.tokens());
    }

    /** Time until the next arrival at the plan's rate, in nanoseconds. */
    long nextGapNanos() {
        return (long) (-Math.log(1 - random.nextDouble()) * 1e9 / plan.requestsPerSecond());
    }

    private static String prompt(int index, int bytes) {
        String sentence = "Section " + index + " of the ordinance. ";
        return sentence.repeat(1 + bytes / sentence.length()).substring(0, bytes);
    }
}
