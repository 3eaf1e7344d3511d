package org.dragonflygw.daemon.endpoint;

import com.google.common.base.CharMatcher;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.BasicLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Parses the lines of heads, and refuses some that the library takes for valid: a status below 100 or above 599, a name of
 * a field that is no token, control characters in a value, and a length that is not made of digits. Thread-safe.
 */
final class StrictLineParser extends BasicLineParser {
    private static final int MIN_STATUS = 100;
    private static final int MAX_STATUS = 599;
    private static final String CONTENT_LENGTH = "Content-Length";

    private static final CharMatcher DIGITS = CharMatcher.inRange('0', '9');
    private static final CharMatcher TOKEN = DIGITS.or(CharMatcher.inRange('a', 'z'))
            .or(CharMatcher.inRange('A', 'Z'))
            .or(CharMatcher.anyOf("!#$%&'*+-.^_`|~"));
    private static final CharMatcher CONTROL =
            CharMatcher.inRange('\0', '\u001f').or(CharMatcher.is('\u007f')).and(CharMatcher.isNot('\t'));

    @Override
    public StatusLine parseStatusLine(CharArrayBuffer line) throws ParseException {
        StatusLine parsed = super.parseStatusLine(line);
        if (parsed.getStatusCode() < MIN_STATUS || parsed.getStatusCode() > MAX_STATUS) {
            throw new ParseException("invalid status " + parsed.getStatusCode());
        }
        return parsed;
    }

    @Override
    public Header parseHeader(CharArrayBuffer line) throws ParseException {
        check(line);
        return super.parseHeader(line);
    }

    /** Checks a line of a head or a trailer. */
    static void check(CharArrayBuffer line) throws ParseException {
        int colon = line.indexOf(':');
        String name = colon < 0 ? "" : line.substring(0, colon);
        if (name.isEmpty() || !TOKEN.matchesAllOf(name)) {
            throw new ParseException("the name of a field is no token");
        }
        String value = line.substringTrimmed(colon + 1, line.length());
        if (CONTROL.matchesAnyOf(value)) {
            throw new ParseException("control character in the field " + name);
        }
        if (name.equalsIgnoreCase(CONTENT_LENGTH) && !DIGITS.matchesAllOf(value)) {
            throw new ParseException("invalid length");
        }
    }
}
