package org.dragonflygw.bench.load;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates requests that share a few prompts. The same seed gives the same prompts, chats and arrival gaps.
 * Not thread-safe.
 */
final class RequestGenerator {
    private static final int CHAT_COUNT = 100_000;
    private static final int HEX_RADIX = 16;

    private final LoadPlan plan;
    private final SplittableRandom random;
    private final List<String> prompts;
    private long created;

    RequestGenerator(LoadPlan plan) {
        this.plan = plan;
        this.random = new SplittableRandom(plan.seed());
        this.prompts = java.util.stream.IntStream.range(0, plan.sharedPrompts())
                .mapToObj(index -> prompt(index, plan.promptBytes()))
                .toList();
    }

    /** Creates the next request to the target. */
    StreamRequest next(LoadTarget target) {
        long number = created++;
        int prompt = random.nextInt(prompts.size());
        String body = "{\"model\":\"" + plan.model() + "\",\"stream\":true,\"max_tokens\":" + plan.tokens()
                + ",\"messages\":[{\"role\":\"system\",\"content\":\"" + prompts.get(prompt)
                + "\"},{\"role\":\"user\",\"content\":\"question " + number + "\"}]}";
        return new StreamRequest(
                target.urls().get((int) (number % target.urls().size())),
                "load-" + Long.toString(System.nanoTime(), Character.MAX_RADIX) + "-" + number,
                "chat-" + random.nextInt(CHAT_COUNT),
                Integer.toString(prompt + 1, HEX_RADIX),
                plan.teamKey(),
                body,
                plan.tokens());
    }

    /** Random time until the next arrival in nanoseconds, exponentially distributed at the rate of the plan. */
    long nextGapNanos() {
        return (long) (-Math.log(1 - random.nextDouble()) * 1e9 / plan.requestsPerSecond());
    }

    private static String prompt(int index, int bytes) {
        String sentence = "Section " + index + " of the ordinance. ";
        return sentence.repeat(1 + bytes / sentence.length()).substring(0, bytes);
    }
}
