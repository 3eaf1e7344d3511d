package org.dragonflygw.cli;

/** Calls daemons on their operators' ports. Throws {@link CliException} with {@link ExitCode#UNREACHABLE}. */
public interface OperatorClient {
    /** Reads a resource. */
    OperatorReply get(DaemonAddress daemon, String pathAndQuery);

    /** Sends content to a resource. */
    OperatorReply post(DaemonAddress daemon, String pathAndQuery, byte[] content);
}
