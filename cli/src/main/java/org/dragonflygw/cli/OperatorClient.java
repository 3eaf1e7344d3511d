package org.dragonflygw.cli;

/**
 * Sends HTTP calls to the operators' ports of daemons. A call whose reply does not arrive throws {@link CliException}
 * with {@link ExitCode#UNREACHABLE}; an HTTP error is a normal reply.
 */
public interface OperatorClient {
    /** Sends a GET. */
    OperatorReply get(DaemonAddress daemon, String pathAndQuery);

    /** Sends a POST with a sheet in CSV as its body. */
    OperatorReply post(DaemonAddress daemon, String pathAndQuery, byte[] content);
}
