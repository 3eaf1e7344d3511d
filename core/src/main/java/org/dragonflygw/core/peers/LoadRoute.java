package org.dragonflygw.core.peers;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import org.dragonflygw.core.routing.RoutingHash;
import org.dragonflygw.core.settings.HostAddress;

/**
 * The way on which a {@link FleetLoad} reaches the hosts that it lists: a tree over the list, which begins at another
 * place with each message, so that all hosts pass on alike and a dead host cuts off others for one message only. All
 * receivers compute it from the message alone.
 */
final class LoadRoute {
    /** Number of hosts to which a host passes a message on: four hops to some three hundred hosts. */
    private static final int FAN_OUT = 4;

    /** Position of the relay, which is the root. */
    private static final int ROOT = -1;

    private final FleetLoad load;
    private final IntFunction<Optional<HostAddress>> addresses;
    private final int relay;
    private final int offset;

    /**
     * Creates the route of a message.
     *
     * @param addresses supplies the address of a host by the short hash of its name, if known
     */
    LoadRoute(FleetLoad load, IntFunction<Optional<HostAddress>> addresses) {
        this.load = load;
        this.addresses = addresses;
        this.relay = ShortHash.of(load.relay());
        this.offset = Math.floorMod(RoutingHash.mix(load.sequence(), relay), Math.max(1, size()));
    }

    private int size() {
        return load.hosts().size();
    }

    /** Returns the hosts to which the relay sends the message. */
    List<HostAddress> fromRelay() {
        List<HostAddress> targets = new ArrayList<>();
        addChildren(ROOT, targets);
        return targets;
    }

    /** Returns the hosts to which a receiver passes the message on. */
    List<HostAddress> from(int host) {
        List<HostAddress> targets = new ArrayList<>();
        for (int i = 0; i < size(); i++) {
            if (load.hosts().get(i).host() == host) {
                addChildren(Math.floorMod(i - offset, size()), targets);
                break;
            }
        }
        return targets;
    }

    /** Adds the children of a position; the relay itself and hosts without a known address are replaced by theirs. */
    private void addChildren(int position, List<HostAddress> targets) {
        int first = FAN_OUT * (position + 1);
        for (int p = first; p < Math.min(first + FAN_OUT, size()); p++) {
            int host = load.hosts().get((p + offset) % size()).host();
            Optional<HostAddress> address = host == relay ? Optional.empty() : addresses.apply(host);
            if (address.isPresent()) {
                targets.add(address.get());
            } else {
                addChildren(p, targets);
            }
        }
    }
}
