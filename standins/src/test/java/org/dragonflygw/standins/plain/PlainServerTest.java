package org.dragonflygw.standins.plain;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.UncheckedIOException;
import org.dragonflygw.standins.http.TestHttp;
import org.dragonflygw.standins.http.TestHttp.Reply;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PlainServerTest {
    private final PlainServer service = new PlainServer("plain-1", 0);

    @AfterEach
    void stop() {
        service.close();
    }

    @Test
    void executionsAreRecordedWithRequestIdAndIdempotencyKey() {
        Reply reply = book("k1");

        assertThat(reply.status()).isEqualTo(200);
        Execution run = service.executions().get(0);
        assertThat(run.requestId()).isEqualTo("r-k1");
        assertThat(run.idempotencyKey()).isEqualTo("k1");
        assertThat(run.body()).isEqualTo("{\"bank\":4}");
        assertThat(TestHttp.call("GET", service.baseUrl() + "/executions", "").text())
                .contains("\"idempotencyKey\":\"k1\"");
    }

    @Test
    void failureIsReturnedAfterTheExecution() {
        service.setFaults(PlainFaults.failing(1));

        assertThat(book("k1").status()).isEqualTo(500);
        assertThat(service.executionCount("k1")).isEqualTo(1);
    }

    @Test
    void lostAnswerDropsTheConnectionAfterTheExecution() {
        service.setFaults(PlainFaults.losingAnswers(2));

        assertThat(book("k1").status()).isEqualTo(200);
        assertThrows(UncheckedIOException.class, () -> book("k2"));
        assertThat(service.executionCount("k2")).isEqualTo(1);
    }

    @Test
    void connectionDroppedBeforeExecutionExecutesNothing() {
        service.setFaults(PlainFaults.droppingBefore(1));

        assertThrows(UncheckedIOException.class, () -> book("k1"));
        assertThat(service.executions()).isEmpty();
    }

    @Test
    void silentServiceExecutesWithoutAnswering() {
        service.setFaults(PlainFaults.silent(1));

        assertThrows(
                UncheckedIOException.class, () -> TestHttp.call(200, "POST", service.baseUrl() + "/pickups", "{}"));
        assertThat(service.executions()).hasSize(1);
    }

    @Test
    void delayedRequestExecutesOnce() {
        TestHttp.call("POST", service.baseUrl() + "/faults", "{\"delayMillis\":20,\"answerDelayMillis\":20}");

        assertThat(book("k1").status()).isEqualTo(200);
        assertThat(service.executionCount("k1")).isEqualTo(1);
    }

    private Reply book(String key) {
        return TestHttp.call(
                "POST",
                service.baseUrl() + "/pickups",
                "{\"bank\":4}",
                "X-Request-Id",
                "r-" + key,
                "Idempotency-Key",
                key);
    }
}
