package org.dragonflygw.bench.policy;

/** The policies that are compared. */
enum PolicyKind {
    ROUND_ROBIN,
    TWO_CHOICES,
    CONSISTENT_HASHING,
    BOUNDED_LOADS,
    GOSSIPED_LOADS,
    STEWARD,
    ORACLE;

    private static final long CHOICE_SEED = 11;

    /** Makes the policy for a loop. */
    Policy create(PolicyLoop loop) {
        return switch (this) {
            case ROUND_ROBIN -> Baselines.roundRobin(loop);
            case TWO_CHOICES -> Baselines.twoChoices(loop, CHOICE_SEED);
            case CONSISTENT_HASHING -> Baselines.consistentHashing(loop);
            case BOUNDED_LOADS -> Baselines.boundedLoads(loop);
            case GOSSIPED_LOADS -> Baselines.gossipOnly(loop);
            case STEWARD -> new StewardPolicy("steward", loop);
            case ORACLE -> Baselines.oracle(loop);
        };
    }
}
