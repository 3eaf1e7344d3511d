package org.dragonflygw.edge.store;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.dragonflygw.standins.raw.RawEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a response to one call to the store that is taken, in part or whole, for the response to the next. */
final class NextStoreCallTest {
    private static final long TIMEOUT_MS = 1_000;
    private static final long PAUSE_MS = 100;
    private static final String FINE = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine";
    private static final String COPY = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy";

    /** A store that runs the script for its first call and answers all others at once. */
    private static RawEndpoint store(RawEndpoint.Script first) {
        AtomicInteger calls = new AtomicInteger();
        return new RawEndpoint((head, s, out) -> {
            if (calls.incrementAndGet() == 1) {
                return first.answer(head, s, out);
            }
            RawEndpoint.write(out, FINE);
            return true;
        });
    }

    private static void pause() throws IOException {
        try {
            Thread.sleep(PAUSE_MS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private static void assertFine(StoreResponse response) {
        assertWithMessage(response.problem()).that(response.isOk()).isTrue();
        assertThat(new String(response.body(), StandardCharsets.ISO_8859_1)).isEqualTo("fine");
    }

    private static void assertSecondOfTwoIsFine(RawEndpoint.Script first) throws Exception {
        try (RawEndpoint store = store(first);
                StoreCalls calls = new StoreCalls(store.port(), TIMEOUT_MS)) {
            assertFine(calls.getTwice());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 9, 15, 17, 38, 40, 42})
    void isNotAnsweredByBytesThatCameWithTheFirstResponse(int bytes) throws Exception {
        assertSecondOfTwoIsFine((head, s, out) -> {
            RawEndpoint.write(out, FINE + COPY.substring(0, bytes));
            return true;
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 9, 15, 17, 38, 40, 42})
    void isNotAnsweredByBytesThatCameBetween(int bytes) throws Exception {
        CountDownLatch written = new CountDownLatch(1);
        RawEndpoint.Script first = (head, s, out) -> {
            RawEndpoint.write(out, FINE);
            pause();
            RawEndpoint.write(out, COPY.substring(0, bytes));
            written.countDown();
            return true;
        };
        try (RawEndpoint store = store(first);
                StoreCalls calls = new StoreCalls(store.port(), TIMEOUT_MS)) {
            assertFine(calls.get());
            written.await();
            pause();
            assertFine(calls.get());
        }
    }

    @Test
    void isNotAnsweredByTheResponseAfterAnInterimOne() throws Exception {
        assertSecondOfTwoIsFine((head, s, out) -> {
            RawEndpoint.write(out, "HTTP/1.1 103 Early Hints\r\n\r\n");
            pause();
            RawEndpoint.write(out, COPY);
            return true;
        });
    }

    @Test
    void isNotAnsweredByAResponseThatCameTooLate() throws Exception {
        assertSecondOfTwoIsFine((head, s, out) -> {
            for (int i = 0; i < 12; i++) {
                pause();
            }
            RawEndpoint.write(out, COPY);
            return true;
        });
    }
}
