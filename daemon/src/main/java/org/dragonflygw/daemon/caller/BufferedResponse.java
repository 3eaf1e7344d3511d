package org.dragonflygw.daemon.caller;

import java.io.IOException;
import java.io.OutputStream;
import org.dragonflygw.core.error.RunStatus;
import org.dragonflygw.core.ledger.AnswerHeader;
import org.dragonflygw.core.ledger.StoredAnswer;

/** A response whose complete body is in memory. */
final class BufferedResponse implements CallerResponse {
    private final int status;
    private final String contentType;
    private final byte[] body;
    private final boolean replayed;

    BufferedResponse(int status, String contentType, byte[] body) {
        this(status, contentType, body, false);
    }

    private BufferedResponse(int status, String contentType, byte[] body, boolean replayed) {
        this.status = status;
        this.contentType = contentType;
        this.body = body;
        this.replayed = replayed;
    }

    /**
     * Creates the response that replays a stored answer.
     *
     * @throws CallerException when the body was not stored
     */
    static BufferedResponse replay(StoredAnswer stored) {
        byte[] body = stored.body()
                .orElseThrow(() -> new CallerException(
                        CallerCode.ANSWER_NOT_KEPT,
                        RunStatus.RUN,
                        "the submission was run; its answer was not kept",
                        0,
                        null));
        String contentType = stored.headers().stream()
                .filter(header -> header.name().equalsIgnoreCase("Content-Type"))
                .map(AnswerHeader::value)
                .findFirst()
                .orElse("");
        return new BufferedResponse(stored.status(), contentType, body, true);
    }

    @Override
    public int status() {
        return status;
    }

    @Override
    public String contentType() {
        return contentType;
    }

    @Override
    public boolean isReplayed() {
        return replayed;
    }

    @Override
    public void write(OutputStream out) throws IOException {
        out.write(body);
    }

    @Override
    public void close() {}
}
