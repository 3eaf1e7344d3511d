package org.dragonflygw.bench.policy;

/**
 * What happens during a run.
 *
 * @param name name in the tables
 * @param routers number of routers
 * @param engines number of engines
 * @param requestsPerSecond rate of the generated work
 * @param durationMillis length of the run
 * @param warmUpMillis time before anything is measured
 * @param replaceEveryMillis time between replacements of an engine; 0 for none
 * @param splitFromMillis start of a time in which routers hold two different views; 0 for none
 * @param splitUntilMillis end of that time
 * @param failFromMillis start of a time in which a third of the engines fails; 0 for none
 * @param failUntilMillis end of that time
 * @param poisonAtMillis time from which the poison request is sent; 0 for none
 * @param reportAgeMillis age of load statements when they arrive
 */
record Scenario(
        String name,
        int routers,
        int engines,
        double requestsPerSecond,
        long durationMillis,
        long warmUpMillis,
        long replaceEveryMillis,
        long splitFromMillis,
        long splitUntilMillis,
        long failFromMillis,
        long failUntilMillis,
        long poisonAtMillis,
        long reportAgeMillis) {
    /** A run without failures. */
    static Scenario steady(int routers, int engines, double requestsPerSecond, long durationMillis, long warmUpMillis) {
        return new Scenario(
                "steady", routers, engines, requestsPerSecond, durationMillis, warmUpMillis, 0, 0, 0, 0, 0, 0, 1_000);
    }

    /** The same under another name. */
    Scenario named(String newName) {
        return new Scenario(
                newName,
                routers,
                engines,
                requestsPerSecond,
                durationMillis,
                warmUpMillis,
                replaceEveryMillis,
                splitFromMillis,
                splitUntilMillis,
                failFromMillis,
                failUntilMillis,
                poisonAtMillis,
                reportAgeMillis);
    }

    /** With one engine replaced each so often. */
    Scenario withReplacement(long everyMillis) {
        return new Scenario(
                "churn",
                routers,
                engines,
                requestsPerSecond,
                durationMillis,
                warmUpMillis,
                everyMillis,
                splitFromMillis,
                splitUntilMillis,
                failFromMillis,
                failUntilMillis,
                poisonAtMillis,
                reportAgeMillis);
    }

    /** With two views of the daemons for a time. */
    Scenario withSplit(long from, long until) {
        return new Scenario(
                "split views",
                routers,
                engines,
                requestsPerSecond,
                durationMillis,
                warmUpMillis,
                replaceEveryMillis,
                from,
                until,
                failFromMillis,
                failUntilMillis,
                poisonAtMillis,
                reportAgeMillis);
    }

    /** With a third of the engines failing for a time. */
    Scenario withFailures(long from, long until) {
        return new Scenario(
                "third fails",
                routers,
                engines,
                requestsPerSecond,
                durationMillis,
                warmUpMillis,
                replaceEveryMillis,
                splitFromMillis,
                splitUntilMillis,
                from,
                until,
                poisonAtMillis,
                reportAgeMillis);
    }

    /** With a request that crashes its engine, sent 100 times. */
    Scenario withPoison(long at) {
        return new Scenario(
                "poison",
                routers,
                engines,
                requestsPerSecond,
                durationMillis,
                warmUpMillis,
                replaceEveryMillis,
                splitFromMillis,
                splitUntilMillis,
                failFromMillis,
                failUntilMillis,
                at,
                reportAgeMillis);
    }

    /** With load statements of another age. */
    Scenario withReportAge(long ageMillis) {
        return new Scenario(
                "reports " + ageMillis + " ms old",
                routers,
                engines,
                requestsPerSecond,
                durationMillis,
                warmUpMillis,
                replaceEveryMillis,
                splitFromMillis,
                splitUntilMillis,
                failFromMillis,
                failUntilMillis,
                poisonAtMillis,
                ageMillis);
    }
}
