package org.dragonflygw.wire.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.Map;
import org.apache.thrift.TException;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class SettingsReaderTest {
    private static final Map<String, String> REQUIRED = Map.of(
            "DRAGONFLYGW_DAEMON_ID", "router-1",
            "DRAGONFLYGW_AVAILABILITY_ZONE", "a",
            "DRAGONFLYGW_REGION", "us-southeast",
            "DRAGONFLYGW_PLATFORM_URL", "http://127.0.0.1:9000",
            "DRAGONFLYGW_DEPLOYMENT", "peachtree");

    private final SettingsReader reader = new SettingsReader();

    @Nested
    final class Values {
        @Test
        void flagOverridesVariable() {
            RouterSettings settings =
                    reader.read(with("DRAGONFLYGW_CALLER_PORT", "9001"), "--caller-port", "9002", "--region=other");

            assertThat(settings.getCallerPort()).isEqualTo(9002);
            assertThat(settings.getRegion()).isEqualTo("other");
        }

        @Test
        void variableOverridesDefault() {
            assertThat(reader.read(with("DRAGONFLYGW_CALLER_PORT", "9001")).getCallerPort())
                    .isEqualTo(9001);
        }

        @Test
        void everySettingHasAValue() throws TException {
            RouterSettings settings = reader.read(REQUIRED);

            settings.validate();
            for (SettingField field : reader.fields()) {
                assertThat(settings.isSet((RouterSettings._Fields) field.id())).isTrue();
            }
            assertThat(settings.getMaxOpenRequests()).isEqualTo(1024);
        }

        @Test
        void everyWholeNumberHasADefaultWithinItsBounds() {
            for (SettingField field : reader.fields()) {
                if (field.integer()) {
                    long value = Long.parseLong(field.defaultValue().orElseThrow());
                    assertThat(value).isAtLeast(field.min());
                    assertThat(value).isAtMost(field.max());
                }
            }
        }
    }

    @Nested
    final class Problems {
        @Test
        void allInvalidSettingsAreReportedTogether() {
            SettingsException e = assertThrows(
                    SettingsException.class,
                    () -> reader.read(
                            Map.of("DRAGONFLYGW_WORKER_THREADS", "many", "DRAGONFLYGW_REGION", " "),
                            "--caller-port",
                            "70000",
                            "--log-level",
                            "LOUD",
                            "--daemon-id",
                            "r",
                            "--nonsense",
                            "3"));

            assertThat(e.problems())
                    .containsExactly(
                            "--nonsense: is not a known setting",
                            "--caller-port: must be from 0 to 65535, not 70000",
                            "--availability-zone: is required (or DRAGONFLYGW_AVAILABILITY_ZONE)",
                            "DRAGONFLYGW_REGION: must not be empty",
                            "--platform-url: is required (or DRAGONFLYGW_PLATFORM_URL)",
                            "--deployment: is required (or DRAGONFLYGW_DEPLOYMENT)",
                            "DRAGONFLYGW_WORKER_THREADS: must be a whole number, not 'many'",
                            "--log-level: must be one of DEBUG, INFO, WARN, ERROR, not 'LOUD'")
                    .inOrder();
            assertThat(e.getMessage()).contains("8 wrong setting(s)");
        }

        @Test
        void flagGivenTwiceIsRejected() {
            SettingsException e = assertThrows(
                    SettingsException.class, () -> reader.read(REQUIRED, "--caller-port", "1", "--caller-port", "2"));

            assertThat(e.problems()).containsExactly("--caller-port: given 2 times");
        }

        @Test
        void flagWithoutValueIsRejected() {
            SettingsException e = assertThrows(SettingsException.class, () -> reader.read(REQUIRED, "--caller-port"));

            assertThat(e.problems()).hasSize(1);
            assertThat(e.problems().get(0)).contains("caller-port");
        }
    }

    @Nested
    final class Help {
        @Test
        void namesEveryFlagVariableAndDefault() {
            String help = reader.help();

            for (SettingField field : reader.fields()) {
                assertThat(help).contains("--" + field.flag());
                assertThat(help).contains(field.variable());
            }
            assertThat(help).contains("default 8080, 0 to 65535");
        }
    }

    private static Map<String, String> with(String name, String value) {
        Map<String, String> all = new HashMap<>(REQUIRED);
        all.put(name, value);
        return all;
    }
}
