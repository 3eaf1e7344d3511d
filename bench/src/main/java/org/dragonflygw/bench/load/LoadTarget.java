package org.dragonflygw.bench.load;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Target of the load: a router, or engines that are called directly.
 *
 * @param name name in the tables
 * @param urls base URLs, used round-robin
 * @param pid process whose CPU time is measured; empty for none
 */
record LoadTarget(String name, List<String> urls, Optional<Long> pid) {
    LoadTarget {
        urls = List.copyOf(urls);
    }

    /** Parses {@code NAME=URL,URL,...} or {@code NAME:PID=URL,...}. */
    static LoadTarget parse(String text) {
        int equals = text.indexOf('=');
        if (equals < 1) {
            throw new IllegalArgumentException("expected NAME=URL or NAME:PID=URL, found " + text);
        }
        String[] name = text.substring(0, equals).split(":", 2);
        Optional<Long> pid = name.length == 2 ? Optional.of(Long.valueOf(name[1])) : Optional.empty();
        List<String> urls = Stream.of(text.substring(equals + 1).split(",", -1)).toList();
        return new LoadTarget(name[0], urls, pid);
    }
}
