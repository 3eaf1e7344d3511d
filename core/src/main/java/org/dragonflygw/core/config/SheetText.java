package org.dragonflygw.core.config;

import java.nio.ByteBuffer;
import java.nio.CharBuffer;
import java.nio.charset.CharsetDecoder;
import java.nio.charset.CoderResult;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** Decodes the bytes of a sheet as strict UTF-8, with or without a byte order mark. */
final class SheetText {
    private static final byte[] UTF8_BOM = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};
    private static final byte[] UTF16_BE_BOM = {(byte) 0xFE, (byte) 0xFF};
    private static final byte[] UTF16_LE_BOM = {(byte) 0xFF, (byte) 0xFE};

    private SheetText() {}

    /** Decodes the content; empty after adding a problem if it is not valid UTF-8 text. */
    static Optional<String> decode(byte[] content, SheetProblems problems) {
        if (startsWith(content, UTF16_BE_BOM) || startsWith(content, UTF16_LE_BOM)) {
            problems.add("the file is UTF-16; export it as UTF-8");
            return Optional.empty();
        }
        int start = startsWith(content, UTF8_BOM) ? UTF8_BOM.length : 0;
        ByteBuffer in = ByteBuffer.wrap(content, start, content.length - start);
        CharBuffer out = CharBuffer.allocate(content.length - start);
        CharsetDecoder decoder = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT);
        CoderResult result = decoder.decode(in, out, true);
        if (result.isError()) {
            problems.add(lineOf(content, in.position()), "", "the file is not UTF-8; export it as UTF-8");
            return Optional.empty();
        }
        out.flip();
        if (out.chars().anyMatch(c -> c == 0)) {
            problems.add("the file holds NUL characters; export it as UTF-8 text");
            return Optional.empty();
        }
        return Optional.of(out.toString());
    }

    private static int lineOf(byte[] content, int position) {
        int line = 1;
        for (int i = 0; i < position; i++) {
            if (content[i] == '\n') {
                line++;
            }
        }
        return line;
    }

    private static boolean startsWith(byte[] content, byte[] prefix) {
        if (content.length < prefix.length) {
            return false;
        }
        for (int i = 0; i < prefix.length; i++) {
            if (content[i] != prefix[i]) {
                return false;
            }
        }
        return true;
    }
}
