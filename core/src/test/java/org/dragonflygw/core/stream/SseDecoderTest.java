package org.dragonflygw.core.stream;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

final class SseDecoderTest {
    private static final int MAX_EVENT_BYTES = 256;

    @Test
    void readsIdAndDataOfAnEvent() {
        SseEvent event = decodeAll("id: 7\r\ndata: {\"a\":1}\r\n\r\n").get(0);

        assertThat(event.sequence()).isEqualTo(7);
        assertThat(event.data()).isEqualTo("{\"a\":1}");
        assertThat(event.named()).isFalse();
    }

    @Test
    void distinguishesCommentsNamedEventsAndData() {
        List<SseEvent> events = decodeAll(": ping\n\nevent: error\ndata: x\n\ndata:y\n\n");

        assertThat(events.get(0).dataLength()).isEqualTo(0);
        assertThat(events.get(1).named()).isTrue();
        assertThat(events.get(2).data()).isEqualTo("y");
        assertThat(events.get(2).sequence()).isEqualTo(SseEvent.NO_SEQUENCE);
    }

    @Test
    void rejectsMalformedAndOversizedEvents() {
        assertThrows(StreamException.class, () -> decodeAll("id: -1\ndata: x\n\n"));
        assertThrows(StreamException.class, () -> decodeAll("id: 99999999999999999999\ndata: x\n\n"));
        assertThrows(StreamException.class, () -> decodeAll("data: x\ndata: y\n\n"));
        assertThrows(StreamException.class, () -> decodeAll("data: " + "x".repeat(MAX_EVENT_BYTES)));
    }

    @Property(seed = "6170", tries = 1_000)
    void decodesTheSameEventsFromPiecesOfAnySize(
            @ForAll @Size(max = 20) List<@IntRange(max = 99) Integer> values,
            @ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 40) Integer> pieces) {
        StringBuilder text = new StringBuilder();
        for (int value : values) {
            text.append("id: ").append(value).append(value % 2 == 0 ? "\n" : "\r\n");
            text.append("data: v").append(value).append("\n\n");
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
        SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
        List<String> seen = new ArrayList<>();
        int from = 0;
        for (int i = 0; from < bytes.length; i++) {
            int count = Math.min(bytes.length - from, pieces.get(i % pieces.size()));
            decoder.append(bytes, from, count);
            from += count;
            for (Optional<SseEvent> event = decoder.next(); event.isPresent(); event = decoder.next()) {
                assertThat(event.get().data()).isEqualTo("v" + event.get().sequence());
                seen.add(event.get().data());
            }
        }

        assertThat(seen).isEqualTo(values.stream().map(value -> "v" + value).toList());
    }

    @Property(seed = "6171", tries = 2_000)
    void anyBytesAreDecodedOrRejectedWithAStreamCode(
            @ForAll("noise") byte[] bytes, @ForAll @IntRange(min = 1, max = 9) int piece) {
        SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
        StreamCheck check = new StreamCheck("r");
        int relayed = 0;
        try {
            for (int from = 0; from < bytes.length; from += piece) {
                decoder.append(bytes, from, Math.min(piece, bytes.length - from));
                for (Optional<SseEvent> event = decoder.next(); event.isPresent(); event = decoder.next()) {
                    assertThat(event.get().length()).isAtMost(MAX_EVENT_BYTES);
                    relayed += check.accept(event.get()) == Verdict.RELAY ? 1 : 0;
                }
            }
        } catch (StreamException e) {
            assertThat(e.code()).isInstanceOf(StreamCode.class);
        }
        assertThat(check.nextSequence()).isEqualTo(relayed);
    }

    @Provide
    Arbitrary<byte[]> noise() {
        return Arbitraries.of(
                        "\n", "\r\n", "id: ", "data: ", "event: ", ":", "0", "1", "{\"id\":\"r\"", "}", "[DONE]", "é")
                .list()
                .ofMaxSize(120)
                .map(parts -> String.join("", parts).getBytes(StandardCharsets.UTF_8));
    }

    private static List<SseEvent> decodeAll(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        SseDecoder decoder = new SseDecoder(MAX_EVENT_BYTES);
        decoder.append(bytes, 0, bytes.length);
        List<SseEvent> events = new ArrayList<>();
        for (Optional<SseEvent> event = decoder.next(); event.isPresent(); event = decoder.next()) {
            events.add(event.get());
        }
        return events;
    }
}
