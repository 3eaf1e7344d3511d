package org.dragonflygw.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.dragonflygw.core.config.Team;
import org.dragonflygw.core.request.SheetIndex;

/** Authenticates callers by the key of their team. */
final class TeamAuthenticator {
    private static final String SCHEME = "Bearer ";
    private static final int MAX_KEY_CHARS = 512;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private TeamAuthenticator() {}

    /**
     * Finds the team whose key is in an Authorization header.
     *
     * @throws CallerException when no sheet is in force, the header is absent or malformed, or no team has the key
     */
    static Team authenticate(SheetIndex index, String authorization) {
        if (index.sheet().version().number() == 0) {
            throw CallerException.notRun(
                    CallerCode.NO_CONFIGURATION, "no configuration is in force yet", RETRY_AFTER_MILLIS);
        }
        if (authorization == null
                || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
                || authorization.length() > MAX_KEY_CHARS) {
            throw unknownKey();
        }
        return index.team(sha256(authorization.substring(SCHEME.length()).strip()))
                .orElseThrow(TeamAuthenticator::unknownKey);
    }

    private static CallerException unknownKey() {
        return CallerException.notRun(CallerCode.UNKNOWN_KEY, "the team key is missing or not known", 0);
    }

    private static String sha256(String key) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
