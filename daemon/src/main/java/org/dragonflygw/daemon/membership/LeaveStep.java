package org.dragonflygw.daemon.membership;

import com.google.inject.Inject;
import java.util.function.Consumer;
import org.dragonflygw.daemon.stop.StopStep;

/** Stop step that announces to the other daemons that this daemon leaves, so that they take over its engines. */
final class LeaveStep implements StopStep {
    private final GossipNode gossip;

    @Inject
    LeaveStep(GossipNode gossip) {
        this.gossip = gossip;
    }

    @Override
    public String name() {
        return "membership";
    }

    @Override
    public void run(Consumer<String> progress) {
        gossip.announceLeaving();
        progress.accept("announced to the other daemons");
    }
}
