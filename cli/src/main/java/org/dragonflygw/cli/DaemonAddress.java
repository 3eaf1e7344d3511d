package org.dragonflygw.cli;

import java.net.URI;

/**
 * Address of the operators' port of one daemon.
 *
 * @param host IP address or host name
 * @param port operators' port, from 1 to 65535
 */
public record DaemonAddress(String host, int port) {
    private static final int MAX_PORT = 65_535;

    /** Parses {@code HOST:PORT}; throws {@link CliException} with {@link ExitCode#USAGE} when the text is malformed. */
    public static DaemonAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new CliException(ExitCode.USAGE, "expected HOST:PORT, found " + text);
        }
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (port < 1 || port > MAX_PORT) {
                throw new CliException(ExitCode.USAGE, "port is not from 1 to " + MAX_PORT + " in " + text);
            }
            return new DaemonAddress(text.substring(0, colon), port);
        } catch (NumberFormatException e) {
            throw new CliException(ExitCode.USAGE, "port is not a number in " + text, e);
        }
    }

    /** URI of a resource on this daemon. */
    public URI resolve(String pathAndQuery) {
        return URI.create("http://" + host + ":" + port + pathAndQuery);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
