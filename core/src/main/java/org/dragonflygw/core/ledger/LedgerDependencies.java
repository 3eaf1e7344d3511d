package org.dragonflygw.core.ledger;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.core.timeline.EventRecorder;

/**
 * What the ledger works with.
 *
 * @param deployment name of the deployment
 * @param owner this process
 * @param writer writes rows
 * @param store reads rows
 * @param answers keeps bodies
 * @param timer runs tasks later
 * @param clock wall clock
 * @param nanoClock monotonic clock, in nanoseconds
 * @param liveness knowledge of dead owners
 * @param events takes the events of claims
 * @param limits times and bounds
 */
public record LedgerDependencies(
        String deployment,
        ClaimOwner owner,
        RowWriter writer,
        TableStore store,
        AnswerStore answers,
        LedgerTimer timer,
        InstantSource clock,
        LongSupplier nanoClock,
        OwnerLiveness liveness,
        EventRecorder events,
        LedgerLimits limits) {}
