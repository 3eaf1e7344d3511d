package org.dragonflygw.wire.codec;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

/** Compresses sheets with gzip for transfer between daemons. */
public final class SheetCompression {
    private SheetCompression() {}

    public static byte[] compress(byte[] content) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (GZIPOutputStream gzip = new GZIPOutputStream(out)) {
            gzip.write(content);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return out.toByteArray();
    }

    /**
     * Decompresses content.
     *
     * @param maxBytes largest size of the decompressed content, in bytes
     * @throws WireException when the content is larger, or is not valid gzip
     */
    public static byte[] decompress(byte[] compressed, int maxBytes) {
        try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
            byte[] content = gzip.readNBytes(maxBytes + 1);
            if (content.length > maxBytes) {
                throw new WireException(WireCode.TOO_LARGE, "sheet is larger than " + maxBytes + " bytes");
            }
            return content;
        } catch (IOException e) {
            throw new WireException(WireCode.MALFORMED_MESSAGE, "sheet is not valid gzip", e);
        }
    }
}
