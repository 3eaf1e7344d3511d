package org.dragonflygw.core.stream;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StreamCheckTest {
    private final StreamCheck check = new StreamCheck("req-1");

    @Nested
    final class Order {
        @Test
        void acceptsEachTokenOnce() {
            assertThat(check.accept(token(0))).isEqualTo(Verdict.RELAY);
            assertThat(check.accept(token(0))).isEqualTo(Verdict.DUPLICATE);
            assertThat(check.accept(token(2))).isEqualTo(Verdict.GAP);
            assertThat(check.accept(token(1))).isEqualTo(Verdict.RELAY);
            assertThat(check.nextSequence()).isEqualTo(2);
        }

        @Test
        void tokenWithoutNumberIsMalformed() {
            assertThat(check.accept(event(SseEvent.NO_SEQUENCE, "{\"id\":\"req-1\"}")))
                    .isEqualTo(Verdict.MALFORMED);
        }
    }

    @Nested
    final class Owner {
        @Test
        void otherRequestsAreForeign() {
            assertThat(check.accept(event(0, "{\"id\":\"req-2\"}"))).isEqualTo(Verdict.FOREIGN);
            assertThat(check.accept(event(0, "{\"id\":\"req-12\"}"))).isEqualTo(Verdict.FOREIGN);
        }

        @Test
        void idIsFoundAnywhereAtTheTop() {
            assertThat(check.accept(event(0, "{ \"choices\":[{\"id\":\"req-2\"}], \"id\" : \"req-1\"}")))
                    .isEqualTo(Verdict.RELAY);
        }

        @Test
        void whatIsNoChunkIsMalformed() {
            assertThat(check.accept(event(0, "[1]"))).isEqualTo(Verdict.MALFORMED);
            assertThat(check.accept(event(0, "{\"id\":3}"))).isEqualTo(Verdict.MALFORMED);
            assertThat(check.accept(event(0, "{\"x\""))).isEqualTo(Verdict.MALFORMED);
        }
    }

    @Nested
    final class End {
        @Test
        void isWholeAfterFinishReasonAndEndMark() {
            check.accept(event(0, "{\"id\":\"req-1\",\"choices\":[{\"finish_reason\" : \"stop\"}]}"));
            assertThat(check.isComplete()).isFalse();

            assertThat(check.accept(event(SseEvent.NO_SEQUENCE, "[DONE]"))).isEqualTo(Verdict.DONE);
            assertThat(check.isComplete()).isTrue();
        }

        @Test
        void endMarkWithoutFinishReasonIsEarly() {
            check.accept(event(0, "{\"id\":\"req-1\",\"choices\":[{\"finish_reason\":null}]}"));

            assertThat(check.accept(event(SseEvent.NO_SEQUENCE, "[DONE]"))).isEqualTo(Verdict.EARLY_DONE);
            assertThat(check.isComplete()).isFalse();
        }

        @Test
        void textThatLooksLikeAFinishReasonIsNone() {
            check.accept(event(0, "{\"id\":\"req-1\",\"content\":\"\\\"finish_reason\\\":\\\"stop\\\"\"}"));

            assertThat(check.accept(event(SseEvent.NO_SEQUENCE, "[DONE]"))).isEqualTo(Verdict.EARLY_DONE);
        }
    }

    @Nested
    final class Resumes {
        private final Instant deadline = Instant.ofEpochMilli(1_000);
        private final ResumePolicy policy = new ResumePolicy(deadline);

        @Test
        void areBoundedWithoutANewToken() {
            for (int i = 0; i < 3; i++) {
                assertThat(resume(5, Instant.EPOCH)).isTrue();
            }
            assertThat(resume(5, Instant.EPOCH)).isFalse();
        }

        @Test
        void areAllowedAgainAfterANewToken() {
            for (int tokens = 1; tokens < 20; tokens++) {
                assertThat(resume(tokens, Instant.EPOCH)).isTrue();
            }
            assertThat(policy.resumes()).isEqualTo(19);
        }

        @Test
        void goOnDuringPrefillUntilTheDeadline() {
            for (int i = 0; i < 10; i++) {
                assertThat(resume(0, Instant.EPOCH)).isTrue();
            }
            assertThat(resume(0, deadline)).isFalse();
        }

        @Test
        void endSoonWhenTheEngineCannotBeReached() {
            for (int i = 0; i < 3; i++) {
                assertThat(policy.tryResume(0, Instant.EPOCH)).isTrue();
            }
            assertThat(policy.tryResume(0, Instant.EPOCH)).isFalse();
        }

        private boolean resume(long tokens, Instant now) {
            boolean allowed = policy.tryResume(tokens, now);
            policy.onResumed();
            return allowed;
        }
    }

    private static SseEvent token(long sequence) {
        return event(sequence, "{\"id\":\"req-1\",\"choices\":[{\"delta\":{},\"finish_reason\":null}]}");
    }

    private static SseEvent event(long sequence, String data) {
        byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
        return new SseEvent(bytes, 0, bytes.length, sequence, 0, bytes.length, false);
    }
}
