package org.dragonflygw.daemon;

import com.google.inject.Module;
import java.util.List;
import org.dragonflygw.daemon.config.ConfigModule;
import org.dragonflygw.daemon.grant.GrantModule;
import org.dragonflygw.daemon.ledger.LedgerModule;
import org.dragonflygw.daemon.membership.MembershipModule;
import org.dragonflygw.daemon.timeline.TimelineModule;

/** Lists the modules of the subsystems of a daemon. */
public final class Subsystems {
    private Subsystems() {}

    /** Returns the modules of all subsystems, in the order in which the subsystems start. */
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
