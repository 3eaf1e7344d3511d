package org.dragonflygw.edge.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Checks that no stream holds events of two software versions, in one response or over a caller's attempts. */
final class StreamVersionCheck {
    private static final Pattern EVENT = Pattern.compile("id: \\d+\ndata: \\S+ \\d+ (\\S+)\n\n");

    private StreamVersionCheck() {}

    /** Returns the versions that wrote the events of a response. */
    static Set<String> versions(Outcome o) {
        Set<String> versions = new TreeSet<>();
        Matcher event = EVENT.matcher(o.body());
        while (event.find()) {
            versions.add(event.group(1));
        }
        return versions;
    }

    /** Returns the streams of two versions, each with its versions. */
    static List<String> violations(SoakRecord record) {
        Map<String, Set<String>> byStream = new TreeMap<>();
        for (Outcome o : record.outcomes()) {
            String stream = o.resumes().isEmpty() ? o.id() : o.resumes();
            byStream.computeIfAbsent(stream, s -> new TreeSet<>()).addAll(versions(o));
        }
        List<String> violations = new ArrayList<>();
        byStream.forEach((stream, versions) -> {
            if (versions.size() > 1) {
                violations.add("stream " + stream + " has events of " + versions);
            }
        });
        return violations;
    }
}
