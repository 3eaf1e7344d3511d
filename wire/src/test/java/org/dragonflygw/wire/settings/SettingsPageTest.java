package org.dragonflygw.wire.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that the operators' page lists every setting with the defaults, bounds and help texts of the schema. */
final class SettingsPageTest {
    private static final Path PAGE = Path.of("../docs/operators/settings.md");

    @Test
    void pageListsExactlyTheSchema() throws IOException {
        List<String> rows = Files.readAllLines(PAGE).stream()
                .filter(line -> line.startsWith("| `--"))
                .toList();

        assertThat(rows)
                .containsExactlyElementsIn(new SettingsReader()
                        .fields().stream().map(SettingsPageTest::row).toList())
                .inOrder();
    }

    private static String row(SettingField field) {
        String allowed = field.integer() ? field.min() + " to " + field.max() : String.join(", ", field.choices());
        return String.format(
                "| `--%s` | `%s` | %s | %s | %s |",
                field.flag(), field.variable(), field.defaultValue().orElse("required"), allowed, field.help());
    }
}
