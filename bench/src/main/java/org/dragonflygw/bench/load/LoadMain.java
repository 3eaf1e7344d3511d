package org.dragonflygw.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/** Opens streams at a given rate against one or two targets and prints first token, token gap and throughput. */
public final class LoadMain {
    private static final int USAGE_EXIT_CODE = 2;
    private static final int FAILED_EXIT_CODE = 1;

    private final OptionParser parser = new OptionParser();
    private final OptionSpec<String> target = parser.accepts("target", "NAME=URL,... or NAME:PID=URL,...")
            .withRequiredArg()
            .required();
    private final OptionSpec<Integer> rate = number("rate", 500, "requests a second");
    private final OptionSpec<Integer> blocks = number("blocks", 3, "blocks for each target");
    private final OptionSpec<Integer> seconds = number("seconds", 4, "seconds of arrivals in a block");
    private final OptionSpec<Integer> warmUp = number("warm-up-seconds", 5, "seconds of arrivals before the blocks");
    private final OptionSpec<Integer> drain = number("drain-seconds", 30, "longest wait for the answers of a block");
    private final OptionSpec<Integer> tokens = number("tokens", 32, "tokens of an answer");
    private final OptionSpec<Integer> promptBytes = number("prompt-bytes", 2000, "length of a prompt");
    private final OptionSpec<Integer> prompts = number("prompts", 16, "number of different prompts");
    private final OptionSpec<Integer> seed = number("seed", 1, "seed of arrivals and prompts");
    private final OptionSpec<String> model =
            parser.accepts("model", "model").withRequiredArg().defaultsTo("ordinance-large");
    private final OptionSpec<String> key =
            parser.accepts("key", "team key").withRequiredArg().defaultsTo("");
    private final OptionSpec<String> out =
            parser.accepts("out", "directory for the tables").withRequiredArg().defaultsTo("");

    private LoadMain() {}

    /** Runs the measurement. */
    public static void main(String[] arguments) throws IOException {
        LoadMain main = new LoadMain();
        try {
            System.exit(main.run(main.parser.parse(arguments)));
        } catch (OptionException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            main.parser.printHelpOn(System.err);
            System.exit(USAGE_EXIT_CODE);
        }
    }

    private int run(OptionSet options) {
        LoadPlan plan = plan(options);
        List<LoadResult> results;
        try (StreamClient client = new StreamClient()) {
            results = new LoadRunner(plan, client).run();
        }
        String latencies = LoadTables.latencies(results);
        String totals = LoadTables.totals(results);
        System.out.print(latencies);
        System.out.print(totals);
        if (!last(options, out).isEmpty()) {
            write(Path.of(last(options, out)), latencies, totals);
        }
        long failed = results.stream()
                .mapToLong(result -> result.metrics().failedCount())
                .sum();
        return failed == 0 ? 0 : FAILED_EXIT_CODE;
    }

    private LoadPlan plan(OptionSet options) {
        return new LoadPlan(
                options.valuesOf(target).stream().map(LoadTarget::parse).toList(),
                last(options, rate),
                last(options, blocks),
                Duration.ofSeconds(last(options, seconds)),
                Duration.ofSeconds(last(options, warmUp)),
                Duration.ofSeconds(last(options, drain)),
                last(options, tokens),
                last(options, promptBytes),
                last(options, prompts),
                last(options, model),
                last(options, key),
                last(options, seed));
    }

    private OptionSpec<Integer> number(String name, int fallback, String help) {
        return parser.accepts(name, help)
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(fallback);
    }

    /** The last value wins, so that a script's defaults can be overridden. */
    private static <T> T last(OptionSet options, OptionSpec<T> option) {
        List<T> values = options.valuesOf(option);
        return values.get(values.size() - 1);
    }

    private static void write(Path directory, String latencies, String totals) {
        try {
            Files.createDirectories(directory);
            Files.writeString(directory.resolve("latencies.csv"), latencies);
            Files.writeString(directory.resolve("totals.csv"), totals);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
