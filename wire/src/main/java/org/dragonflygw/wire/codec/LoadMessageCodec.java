package org.dragonflygw.wire.codec;

import java.util.ArrayList;
import java.util.List;
import org.dragonflygw.core.dispatch.PromptPart;
import org.dragonflygw.core.peers.EndpointSum;
import org.dragonflygw.core.peers.FleetLoad;
import org.dragonflygw.core.peers.HostLoad;
import org.dragonflygw.core.peers.IncludedHost;
import org.dragonflygw.core.peers.SharedPrefix;
import org.dragonflygw.wire.hosts.EndpointSumsMessage;
import org.dragonflygw.wire.hosts.FleetLoadMessage;
import org.dragonflygw.wire.hosts.HostLoadMessage;
import org.dragonflygw.wire.hosts.SharedPrefixesMessage;

/**
 * Converts loads of hosts and their sums to messages and back. Sorted hashes are sent as differences, and each field as a
 * list of its own, since Thrift needs no header for the elements of a list of numbers.
 */
final class LoadMessageCodec {
    /** The wire carries failure scores as integers in hundredths. */
    private static final double HUNDREDTHS = 100;

    /** Unit of unread tokens on the wire. */
    private static final int TOKENS_PER_UNIT = 16;

    private LoadMessageCodec() {}

    static HostLoadMessage encode(HostLoad load) {
        HostLoadMessage m = new HostLoadMessage(load.host(), load.sequence(), encodeSums(load.loads()));
        return load.prefixes().isEmpty() ? m : m.setPrefixes(encodePrefixes(load.prefixes()));
    }

    static HostLoad decode(HostLoadMessage m) {
        return new HostLoad(m.getHost(), m.getSequence(), decodeSums(m.getLoads()), decodePrefixes(m.getPrefixes()));
    }

    static FleetLoadMessage encode(FleetLoad load) {
        List<Integer> gaps = new ArrayList<>();
        List<Integer> sequences = new ArrayList<>();
        int last = 0;
        for (IncludedHost h : load.hosts()) {
            gaps.add(h.host() - last);
            sequences.add(h.sequence());
            last = h.host();
        }
        int ageMs = (int) Math.min(Integer.MAX_VALUE, load.ageMs());
        FleetLoadMessage m =
                new FleetLoadMessage(load.relay(), load.sequence(), ageMs, gaps, sequences, encodeSums(load.loads()));
        return load.prefixes().isEmpty() ? m : m.setPrefixes(encodePrefixes(load.prefixes()));
    }

    static FleetLoad decode(FleetLoadMessage m) {
        List<IncludedHost> hosts = new ArrayList<>();
        int host = 0;
        for (int i = 0; i < m.getHostGapsSize(); i++) {
            host += m.getHostGaps().get(i);
            hosts.add(new IncludedHost(host, m.getHostSequences().get(i)));
        }
        return new FleetLoad(
                m.getRelay(),
                m.getSequence(),
                Math.max(0, m.getAgeMillis()),
                hosts,
                decodeSums(m.getLoads()),
                decodePrefixes(m.getPrefixes()));
    }

    private static EndpointSumsMessage encodeSums(List<EndpointSum> sums) {
        List<Integer> gaps = new ArrayList<>();
        List<Integer> inFlight = new ArrayList<>();
        List<Integer> units = new ArrayList<>();
        List<Integer> positions = new ArrayList<>();
        List<Integer> failures = new ArrayList<>();
        int last = 0;
        for (EndpointSum s : sums) {
            int hundredths = (int) Math.round(s.failureScore() * HUNDREDTHS);
            if (hundredths > 0) {
                positions.add(gaps.size());
                failures.add(hundredths);
            }
            gaps.add(s.endpoint() - last);
            inFlight.add(s.inFlight());
            units.add((int) Math.min(Integer.MAX_VALUE, (s.unreadTokens() + TOKENS_PER_UNIT - 1) / TOKENS_PER_UNIT));
            last = s.endpoint();
        }
        EndpointSumsMessage m = new EndpointSumsMessage(gaps, inFlight, units);
        return positions.isEmpty() ? m : m.setFailurePositions(positions).setFailureHundredths(failures);
    }

    private static List<EndpointSum> decodeSums(EndpointSumsMessage m) {
        double[] failures = new double[m.getEndpointGapsSize()];
        for (int i = 0; i < m.getFailurePositionsSize(); i++) {
            failures[m.getFailurePositions().get(i)] =
                    Math.max(0, m.getFailureHundredths().get(i)) / HUNDREDTHS;
        }
        List<EndpointSum> sums = new ArrayList<>();
        int endpoint = 0;
        for (int i = 0; i < failures.length; i++) {
            endpoint += m.getEndpointGaps().get(i);
            int inFlight = Math.max(0, m.getInFlight().get(i));
            long unreadTokens = Math.max(0, (long) m.getUnreadUnits().get(i) * TOKENS_PER_UNIT);
            sums.add(new EndpointSum(endpoint, inFlight, unreadTokens, failures[i]));
        }
        return sums;
    }

    private static SharedPrefixesMessage encodePrefixes(List<SharedPrefix> prefixes) {
        List<Integer> endpoints = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        List<Long> ids = new ArrayList<>();
        List<Integer> tokens = new ArrayList<>();
        for (SharedPrefix p : prefixes) {
            endpoints.add(p.endpoint());
            counts.add(p.parts().size());
            p.parts().forEach(part -> ids.add(part.id()));
            p.parts().forEach(part -> tokens.add(part.tokens()));
        }
        return new SharedPrefixesMessage(endpoints, counts, ids, tokens);
    }

    private static List<SharedPrefix> decodePrefixes(SharedPrefixesMessage m) {
        List<SharedPrefix> prefixes = new ArrayList<>();
        if (m == null) {
            return prefixes;
        }
        int part = 0;
        for (int i = 0; i < m.getEndpointsSize(); i++) {
            List<PromptPart> parts = new ArrayList<>();
            for (int j = 0; j < m.getPartCounts().get(i); j++) {
                parts.add(new PromptPart(
                        m.getPartIds().get(part), m.getPartTokens().get(part)));
                part++;
            }
            prefixes.add(new SharedPrefix(m.getEndpoints().get(i), parts));
        }
        return prefixes;
    }
}
