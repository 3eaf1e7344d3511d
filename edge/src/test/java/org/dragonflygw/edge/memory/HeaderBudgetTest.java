package org.dragonflygw.edge.memory;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpHeaders;
import org.dragonflygw.core.log.NoOpEventLog;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class HeaderBudgetTest {
    private static final int MAX_BYTES = 40_000;

    private int closed;
    private final HeaderBudget budget = new HeaderBudget(MAX_BYTES, () -> closed++, new NoOpEventLog());
    private final EmbeddedChannel ordinaryChannel = new EmbeddedChannel();
    private final EmbeddedChannel largeChannel = new EmbeddedChannel();
    private final HeaderAccount ordinary = budget.open("caller", ordinaryChannel);
    private final HeaderAccount large = budget.open("caller", largeChannel);

    private static HttpHeaders headers(HeaderAccount account, int lines) {
        HttpHeaders headers = account.decoderConfig().getHeadersFactory().newHeaders();
        for (int i = 0; i < lines; i++) {
            headers.add("a", "");
        }
        return headers;
    }

    @Nested
    final class UsedUp {
        /** Guards against ordinary callers that are refused for what others hold. */
        @Test
        void closesTheConnectionThatHoldsTheMost() {
            headers(large, 120);
            headers(ordinary, 20);
            assertThat(largeChannel.isOpen()).isFalse();
            assertThat(ordinaryChannel.isOpen()).isTrue();
            assertThat(closed).isEqualTo(1);
            assertThat(budget.usedBytes()).isEqualTo(20 * 301);
        }

        /** The handler of the message that is being decoded can still refuse it. */
        @Test
        void rejectsTheHeadThatIsBeingDecodedIfItsConnectionHoldsTheMost() {
            headers(ordinary, 20);
            assertThrows(HeaderBudgetException.class, () -> headers(large, 200));
            assertThat(largeChannel.isOpen()).isTrue();
            assertThat(budget.usedBytes()).isEqualTo(20 * 301);
            assertThrows(HeaderBudgetException.class, () -> headers(large, 1));
        }

        /** Guards against connections that are closed and hold their heads until the event loop has read all others. */
        @Test
        void clearsTheHeadsOfTheConnectionAtOnce() {
            HttpHeaders heads = headers(large, 120);
            ordinary.charge(5_000);
            assertThat(heads.isEmpty()).isTrue();
        }
    }

    @Nested
    final class Released {
        @Test
        void holdsNothingOnceMessagesAreUsedAndConnectionsClosed() {
            HttpHeaders heads = headers(large, 10);
            large.buffered(500);
            large.release(AccountedHeaders.forget(heads));
            assertThat(budget.usedBytes()).isEqualTo(500);
            large.buffered(100);
            headers(large, 2);
            large.releaseMessages();
            assertThat(budget.usedBytes()).isEqualTo(100);
            largeChannel.close().syncUninterruptibly();
            assertThat(budget.usedBytes()).isEqualTo(0);
        }
    }
}
