package org.dragonflygw.cli;

import java.util.HashMap;
import java.util.Map;

/** Operator client for tests that replies from a table. A call without an entry fails as unreachable. */
final class FakeOperatorClient implements OperatorClient {
    private final Map<String, OperatorReply> replies = new HashMap<>();

    FakeOperatorClient reply(String daemon, String pathPrefix, int status, String body) {
        replies.put(daemon + pathPrefix, new OperatorReply(status, body));
        return this;
    }

    @Override
    public OperatorReply get(DaemonAddress daemon, String pathAndQuery) {
        String path = pathAndQuery.split("\\?", 2)[0];
        OperatorReply reply = replies.get(daemon + path);
        if (reply == null) {
            throw new CliException(ExitCode.UNREACHABLE, daemon + " did not answer");
        }
        return reply;
    }

    @Override
    public OperatorReply post(DaemonAddress daemon, String pathAndQuery, byte[] content) {
        return get(daemon, pathAndQuery);
    }
}
