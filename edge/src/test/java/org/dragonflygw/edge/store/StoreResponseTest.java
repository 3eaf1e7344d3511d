package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The store, or what answers in its place, sends broken responses; odd ones that are proper must be read. */
final class StoreResponseTest {
    private static final long TIMEOUT_MS = 1_000;
    private static final long PAUSE_MS = 100;

    /** More than the buffers of two sockets hold, so that the rest of the request waits to be written. */
    private static final int UPLOAD_BYTES = 4_194_304;

    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String LENGTH = "Content-Length: 4\r\n";
    private static final String CHUNKS = "Transfer-Encoding: chunked\r\n";

    private static StoreResponse get(RawEndpoint store) throws Exception {
        try (store;
                StoreCalls calls = new StoreCalls(store.port(), TIMEOUT_MS)) {
            return calls.get();
        }
    }

    private static StoreResponse get(String response) throws Exception {
        return get(new RawEndpoint((head, s, out) -> {
            RawEndpoint.write(out, response);
            return false;
        }));
    }

    private static void assertFailed(StoreResponse response) {
        assertThat(response.isOk()).isFalse();
        assertThat(response.status()).isEqualTo(0);
        assertThat(response.failure()).isPresent();
    }

    private static void assertFine(StoreResponse response) {
        assertWithMessage(response.problem()).that(response.isOk()).isTrue();
        assertThat(new String(response.body(), StandardCharsets.ISO_8859_1)).isEqualTo("fine");
    }

    /** Guards against a call that counts as done, or read, by a response that is none. */
    @Nested
    final class ABrokenResponseFailsTheCall {
        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void withAnInvalidField(String line) throws Exception {
            assertFailed(get(OK + "X-First: 1\r\n" + line + "\r\n" + LENGTH + "\r\nfine"));
        }

        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#invalid")
        void withAnInvalidTrailer(String line) throws Exception {
            assertFailed(get(OK + CHUNKS + "\r\n4\r\nfine\r\n0\r\n" + line + "\r\n\r\n"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"X Bad: v", "X-Bad : v", "X\u0001Bad: v"})
        void withAnInvalidFieldInAnInterimHead(String line) throws Exception {
            assertFailed(get("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + OK + LENGTH + "\r\nfine"));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK", "ICY 200 OK"})
        void withAnInvalidStatusLine(String statusLine) throws Exception {
            assertFailed(get(statusLine + "\r\n" + LENGTH + "\r\nfine"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"X-A: \u0001", "Content-Length: +4", "Content-Length: 4\r\nContent-Length: 5"})
        void withAnInvalidValue(String lines) throws Exception {
            assertFailed(get(OK + lines + "\r\n\r\nfine"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"x\r\nfine", "4\r\nfineandmore", "4\r\nfi", "-4\r\nfine"})
        void withInvalidChunks(String chunks) throws Exception {
            assertFailed(get(OK + CHUNKS + "\r\n" + chunks));
        }

        @Test
        void whenItIsShorterThanItsLength() throws Exception {
            assertFailed(get(OK + LENGTH + "\r\nfin"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "fi"})
        void whenItHasNoLengthAndIsReset(String body) throws Exception {
            assertFailed(get(new RawEndpoint((head, s, out) -> resetAfter(OK + "\r\n" + body, s, out))));
        }

        @Test
        void whenItHasNoLengthAndIsResetDuringTheUpload() throws Exception {
            try (RawEndpoint store = RawEndpoint.answeringEarly((head, s, out) -> resetAfter(OK + "\r\nfi", s, out));
                    StoreCalls calls = new StoreCalls(store.port(), TIMEOUT_MS)) {
                assertFailed(calls.post(new byte[UPLOAD_BYTES]));
            }
        }

        private boolean resetAfter(String response, Socket connection, OutputStream out) throws IOException {
            RawEndpoint.write(out, response);
            pause();
            connection.setSoLinger(true, 0);
            return false;
        }

        private void pause() throws IOException {
            try {
                Thread.sleep(PAUSE_MS);
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
        }
    }

    @Nested
    final class AProperResponseIsRead {
        @ParameterizedTest
        @MethodSource("org.dragonflygw.standins.raw.FieldLines#valid")
        void withAnOddField(String line) throws Exception {
            assertFine(get(OK + line + "\r\n" + LENGTH + "\r\nfine"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK"})
        void withAnOddStatusLine(String statusLine) throws Exception {
            assertFine(get(statusLine + "\r\n" + LENGTH + "\r\nfine"));
        }

        @Test
        void inChunksWithExtensionsAndATrailer() throws Exception {
            assertFine(get(OK + CHUNKS + "\r\n2;a=b\r\nfi\r\n2\r\nne\r\n0\r\nX-After: 1\r\n\r\n"));
        }

        @Test
        void whenItEndsWithItsConnection() throws Exception {
            assertFine(get(OK + "\r\nfine"));
        }

        @Test
        void whenItSpeaksOfAnotherStatusLine() throws Exception {
            assertFine(get(OK + "Via: HTTP/1.1 front\r\n" + LENGTH + "\r\nfine"));
        }

        /** Guards against an interim response that is taken for the outcome of the call. */
        @ParameterizedTest
        @ValueSource(ints = {100, 102, 103})
        void afterAnInterimOne(int status) throws Exception {
            assertFine(get("HTTP/1.1 " + status + " Interim\r\nX-Early: 1\r\n\r\n" + OK + LENGTH + "\r\nfine"));
        }
    }

    @Test
    void aResponseOfSwitchedProtocolsFailsTheCall() throws Exception {
        assertFailed(get("HTTP/1.1 101 Switching Protocols\r\n\r\n" + OK + LENGTH + "\r\nfine"));
    }

    /** Guards against a call that stays open as long as interim responses arrive. */
    @Test
    void interimResponsesWithoutEndFailTheCall() throws Exception {
        assertFailed(get(new RawEndpoint((head, s, out) -> {
            String block = "HTTP/1.1 102 Processing\r\n\r\n".repeat(1_000);
            for (int i = 0; i < 2_000; i++) {
                RawEndpoint.write(out, block);
            }
            return false;
        })));
    }
}
