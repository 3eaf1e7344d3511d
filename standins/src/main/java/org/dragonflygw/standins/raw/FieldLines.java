package org.dragonflygw.standins.raw;

import java.util.stream.IntStream;
import java.util.stream.Stream;

/** Lines of heads, without their ends, that a reader of HTTP/1.1 must refuse or accept. */
public final class FieldLines {
    private FieldLines() {}

    /** Returns lines that hold no field: names that are no token, names without a colon, and lines without a name. */
    public static Stream<String> invalid() {
        Stream<String> separators = Stream.of(
                "X Bad: v",
                "X\tBad: v",
                "X-Bad : v",
                "X-Bad\t: v",
                "Content Length: 5",
                "Content-Length : 2",
                "Transfer-Encoding : chunked",
                " X-Bad: v",
                "\tX-Bad: v",
                "X(Bad: v",
                "X\"Bad: v",
                "X/Bad: v",
                ": v",
                "X-Bad");
        Stream<String> bytes = IntStream.of(0x00, 0x01, 0x0b, 0x0c, 0x0d, 0x1f, 0x7f, 0x80, 0xff)
                .mapToObj(c -> "X" + (char) c + "Bad: v");
        return Stream.concat(separators, bytes);
    }

    /** Returns fields that are odd but proper. */
    public static Stream<String> valid() {
        return Stream.of(
                "!#$%&'*+-.^_`|~09azAZ: v",
                "X-Empty:",
                "X-Tabs:\tv\t",
                "X-Blanks:   v  ",
                "X-High: \u00e9\u00ff",
                "Via: HTTP/1.1 front",
                "X-A: HTTP/1.1 is old",
                "X-A: HTTP/1.0 2 of 5");
    }
}
