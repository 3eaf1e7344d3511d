package org.dragonflygw.core.request;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

final class ChatRequestReaderTest {
    private final ChatRequestReader reader = new ChatRequestReader(65_536);

    @Test
    void readsModelAdapterStreamFlagAndPromptLength() {
        ChatRequest request = read("{\"model\":\"m\",\"adapter\":\"a\",\"stream\":true,\"temperature\":{\"x\":[1]},"
                + "\"messages\":[{\"role\":\"user\",\"content\":\"" + "x".repeat(400) + "\"}]}");

        assertThat(request.model()).isEqualTo("m");
        assertThat(request.adapter()).isEqualTo("a");
        assertThat(request.stream()).isTrue();
        assertThat(request.promptTokens()).isEqualTo(101);
    }

    @Test
    void equalSystemMessagesHaveEqualPrefixFingerprints() {
        long first = read(withSystem("ordinance", "question one")).prefixFingerprint();

        assertThat(read(withSystem("ordinance", "another question")).prefixFingerprint())
                .isEqualTo(first);
        assertThat(read(withSystem("other ordinance", "question one")).prefixFingerprint())
                .isNotEqualTo(first);
    }

    @Test
    void contentInPartsCountsTowardsThePromptLength() {
        ChatRequest request = read("{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
                + "\"content\":[{\"type\":\"text\",\"text\":\"" + "x".repeat(396) + "\"}]}]}");

        assertThat(request.promptTokens()).isEqualTo(101);
    }

    @Test
    void rejectsInvalidBodies() {
        for (String body : new String[] {
            "",
            "null",
            "[]",
            "{}",
            "{\"model\":1,\"messages\":[{\"role\":\"user\"}]}",
            "{\"model\":\"m\",\"messages\":{}}",
            "{\"model\":\"m\",\"messages\":[1]}",
            "{\"model\":\"m\",\"messages\":[{\"content\":\"x\"}]}",
            "{\"model\":\"m\",\"model\":\"n\",\"messages\":[{\"role\":\"user\"}]}",
            "{\"model\":\"m\",\"stream\":\"yes\",\"messages\":[{\"role\":\"user\"}]}",
            "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]} x",
            "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":" + "[".repeat(100)
        }) {
            RequestException e = assertThrows(RequestException.class, () -> read(body));
            assertThat(e.code()).isEqualTo(RequestCode.INVALID_BODY);
        }
    }

    @Property(seed = "6172", tries = 2_000)
    void anyTextIsParsedOrRejectedWithADetail(@ForAll("noise") String body) {
        try {
            assertThat(read(body).model()).isNotEmpty();
        } catch (RequestException e) {
            assertThat(e.detail()).isNotEmpty();
        }
    }

    @Provide
    Arbitrary<String> noise() {
        return Arbitraries.of(
                        "{",
                        "}",
                        "[",
                        "]",
                        ",",
                        ":",
                        "\"model\"",
                        "\"m\"",
                        "\"messages\"",
                        "\"role\"",
                        "\"user\"",
                        "\"content\"",
                        "\"stream\"",
                        "true",
                        "null",
                        "1e999",
                        "\"",
                        "\\u00",
                        "é")
                .list()
                .ofMaxSize(40)
                .map(parts -> String.join("", parts));
    }

    private ChatRequest read(String body) {
        return reader.read(body.getBytes(StandardCharsets.UTF_8));
    }

    private static String withSystem(String system, String question) {
        return "{\"model\":\"m\",\"messages\":[{\"role\":\"system\",\"content\":\"" + system
                + "\"},{\"role\":\"user\",\"content\":\"" + question + "\"}]}";
    }
}
