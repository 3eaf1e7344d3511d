package org.dragonflygw.bench.policy;

import java.util.List;

/**
 * Shape of a workload. All means are of exponential or geometric distributions.
 *
 * @param name name of the workload in tables and charts
 * @param weights weight of each team
 * @param traffic share of the traffic of each team
 * @param documents number of shared documents
 * @param zipfExponent skew of their popularity
 * @param minDocumentTokens length of the shortest document
 * @param maxDocumentTokens length of the longest document
 * @param meanTurns turns of a chat
 * @param meanThinkMillis pause between turns, in milliseconds
 * @param firstTokens new tokens of the first turn
 * @param turnTokens new tokens of a later turn
 * @param meanOutputTokens length of an answer
 * @param deadlineMillis time that callers wait, in milliseconds
 * @param surgingTeam index of the team that surges
 */
record WorkloadShape(
        String name,
        List<Integer> weights,
        List<Double> traffic,
        int documents,
        double zipfExponent,
        int minDocumentTokens,
        int maxDocumentTokens,
        double meanTurns,
        double meanThinkMillis,
        int firstTokens,
        int turnTokens,
        int meanOutputTokens,
        long deadlineMillis,
        int surgingTeam) {
    /** The same with all teams asking alike. */
    WorkloadShape withEvenTraffic() {
        List<Double> even = java.util.Collections.nCopies(weights.size(), 1.0 / weights.size());
        return new WorkloadShape(
                name,
                weights,
                even,
                documents,
                zipfExponent,
                minDocumentTokens,
                maxDocumentTokens,
                meanTurns,
                meanThinkMillis,
                firstTokens,
                turnTokens,
                meanOutputTokens,
                deadlineMillis,
                surgingTeam);
    }

    /** Whole applications read against long shared ordinances; chats that return. */
    static WorkloadShape peachtree() {
        return new WorkloadShape(
                "peachtree",
                List.of(5, 4, 3, 1, 1, 1, 1, 1, 1, 1),
                List.of(.25, .2, .15, .06, .06, .06, .06, .06, .05, .05),
                60,
                1.0,
                3_000,
                12_000,
                6,
                45_000,
                2_500,
                300,
                160,
                30_000,
                0);
    }

    /** Short prompts of few large teams, one of which surges. */
    static WorkloadShape krug() {
        return new WorkloadShape(
                "krug",
                List.of(6, 5, 4, 1, 1, 1, 1, 1, 1, 1),
                List.of(.3, .25, .2, .04, .04, .04, .04, .03, .03, .03),
                10,
                0.8,
                800,
                2_000,
                3,
                30_000,
                250,
                120,
                120,
                20_000,
                0);
    }
}
