package org.dragonflygw.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** Generates the same requests for the same seed, whatever policy takes them. */
final class WorkloadGenerator {
    private static final int MAX_TURNS = 30;

    private final WorkloadShape shape;
    private final long seed;
    private final double[] popularity;
    private final int[] documentTokens;

    WorkloadGenerator(WorkloadShape shape, long seed) {
        this.shape = shape;
        this.seed = seed;
        Random random = new Random(seed);
        this.popularity = new double[shape.documents()];
        this.documentTokens = new int[shape.documents()];
        double sum = 0;
        for (int i = 0; i < popularity.length; i++) {
            sum += 1 / Math.pow(i + 1, shape.zipfExponent());
            popularity[i] = sum;
            documentTokens[i] = shape.minDocumentTokens()
                    + random.nextInt(shape.maxDocumentTokens() - shape.minDocumentTokens() + 1);
        }
    }

    /** Requests of all teams over a time. */
    List<Arrival> generate(long durationMillis, double requestsPerSecond) {
        List<Arrival> arrivals = new ArrayList<>();
        Random random = new Random(seed + 1);
        long warmStart = (long) (-shape.meanTurns() * shape.meanThinkMillis());
        addChats(arrivals, random, warmStart, durationMillis, requestsPerSecond / shape.meanTurns(), -1, 0);
        return inOrder(arrivals);
    }

    /** The same requests with those of a surge of the surging team to a multiple of its traffic. */
    List<Arrival> withSurge(List<Arrival> base, double requestsPerSecond, double factor, long from, long until) {
        List<Arrival> arrivals = new ArrayList<>(base);
        Random random = new Random(seed + 2);
        int team = shape.surgingTeam();
        double extra = requestsPerSecond * shape.traffic().get(team) * (factor - 1);
        addChats(arrivals, random, from, until, extra, team, 1_000_000_000L);
        return inOrder(arrivals);
    }

    private void addChats(
            List<Arrival> arrivals,
            Random random,
            long from,
            long until,
            double chatsPerSecond,
            int onlyTeam,
            long firstChat) {
        double at = from;
        long chat = firstChat;
        while (true) {
            at += exponential(random, 1_000 / chatsPerSecond);
            if (at >= until) {
                return;
            }
            int team = onlyTeam >= 0 ? onlyTeam : pickTeam(random);
            int turns = onlyTeam >= 0 ? 1 : geometric(random, shape.meanTurns());
            addChat(arrivals, random, (long) at, until, chat++, team, turns);
        }
    }

    private void addChat(
            List<Arrival> arrivals, Random random, long start, long until, long chat, int team, int turns) {
        int document = pickDocument(random);
        int history = 0;
        double at = start;
        for (int turn = 0; turn < turns && at < until; turn++) {
            int fresh = turn == 0 ? shape.firstTokens() : shape.turnTokens();
            fresh = (int) (fresh * (0.5 + random.nextDouble()));
            int output = 10 + (int) exponential(random, shape.meanOutputTokens() - 10);
            if (at >= 0) {
                arrivals.add(new Arrival(
                        (long) at,
                        chat * MAX_TURNS + turn,
                        team,
                        chat,
                        document,
                        documentTokens[document],
                        history,
                        fresh,
                        Math.min(output, 6 * shape.meanOutputTokens()),
                        shape.deadlineMillis()));
            }
            history += fresh + output;
            at += 8_000 + exponential(random, shape.meanThinkMillis());
        }
    }

    private int pickTeam(Random random) {
        double draw = random.nextDouble();
        int team = 0;
        for (; team < shape.traffic().size() - 1 && draw > shape.traffic().get(team); team++) {
            draw -= shape.traffic().get(team);
        }
        return team;
    }

    private int pickDocument(Random random) {
        double draw = random.nextDouble() * popularity[popularity.length - 1];
        int document = 0;
        while (popularity[document] < draw) {
            document++;
        }
        return document;
    }

    private static List<Arrival> inOrder(List<Arrival> arrivals) {
        arrivals.sort(Comparator.comparingLong(Arrival::atMillis).thenComparingLong(Arrival::id));
        return arrivals;
    }

    private static int geometric(Random random, double mean) {
        int turns = 1;
        while (turns < MAX_TURNS && random.nextDouble() > 1 / mean) {
            turns++;
        }
        return turns;
    }

    private static double exponential(Random random, double mean) {
        return -Math.log(1 - random.nextDouble()) * mean;
    }
}
