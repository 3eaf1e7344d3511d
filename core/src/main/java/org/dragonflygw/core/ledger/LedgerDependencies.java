package org.dragonflygw.core.ledger;

import java.time.InstantSource;
import java.util.function.LongSupplier;
import org.dragonflygw.core.storage.TableStore;
import org.dragonflygw.core.timeline.EventRecorder;

/**
 * Services, identity and limits that the ledger uses.
 *
 * @param deployment name of the deployment
 * @param owner this process, as owner of its claims
 * @param writer writes submission rows
 * @param store reads submission rows
 * @param answers stores the bodies of answers
 * @param timer runs delayed tasks
 * @param clock wall clock
 * @param nanoClock monotonic clock, in nanoseconds
 * @param liveness says whether the owner of a claim may still be running
 * @param events records the events of claims
 * @param limits timeouts and limits
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
