package org.dragonflygw.daemon;

import com.google.inject.Module;
import java.util.List;
import org.dragonflygw.daemon.config.ConfigModule;
import org.dragonflygw.daemon.grant.GrantModule;
import org.dragonflygw.daemon.ledger.LedgerModule;
import org.dragonflygw.daemon.membership.MembershipModule;
import org.dragonflygw.daemon.timeline.TimelineModule;

/** The modules of the subsystems that a daemon runs with, besides its frame. */
public final class Subsystems {
    private Subsystems() {}

    /** All subsystems, in the order of their start. */
    public static List<Module> all() {
        return List.of(
                new PlatformModule(),
                new TimelineModule(),
                new MembershipModule(),
                new GrantModule(),
                new ConfigModule(),
                new LedgerModule());
    }
}
