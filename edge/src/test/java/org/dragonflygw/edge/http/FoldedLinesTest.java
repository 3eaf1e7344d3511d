package org.dragonflygw.edge.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

final class FoldedLinesTest {
    private static final String FOLDED = "HTTP/1.1 200 OK\r\nX-A: 1\r\n\tmore\r\n\r\n";
    private static final String PLAIN = "HTTP/1.1 200 OK\r\nX-A: 1 \t\r\nX-B: \t 2\r\n\r\n";

    private static boolean found(FoldedLines lines, String head, int cut) {
        ByteBuf bytes = Unpooled.copiedBuffer(head, StandardCharsets.ISO_8859_1);
        lines.check(bytes, 0, cut);
        lines.check(bytes, cut, bytes.readableBytes());
        return lines.found();
    }

    @Test
    void areFoundWhereverTheHeadIsCut() {
        for (int cut = 0; cut <= FOLDED.length(); cut++) {
            assertWithMessage("cut at %s", cut)
                    .that(found(new FoldedLines(), FOLDED, cut))
                    .isTrue();
        }
    }

    @Test
    void areNotFoundInOtherBlanks() {
        for (int cut = 0; cut <= PLAIN.length(); cut++) {
            assertWithMessage("cut at %s", cut)
                    .that(found(new FoldedLines(), PLAIN, cut))
                    .isFalse();
        }
    }

    @Test
    void countForOneHeadOnly() {
        FoldedLines lines = new FoldedLines();
        assertThat(found(lines, FOLDED, 0)).isTrue();
        lines.reset();
        assertThat(found(lines, " " + PLAIN, 0)).isFalse();
    }
}
