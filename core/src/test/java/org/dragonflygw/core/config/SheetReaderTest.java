package org.dragonflygw.core.config;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class SheetReaderTest {
    private static final Path EXAMPLES = Path.of("..", "examples");
    private final SheetReader reader = new SheetReader();

    private static String example(String name) throws IOException {
        return Files.readString(EXAMPLES.resolve(name));
    }

    private SheetReadResult read(String text) {
        return reader.read(text.getBytes(StandardCharsets.UTF_8));
    }

    private List<String> problems(String text) {
        return read(text).problems().stream().map(SheetProblem::toString).toList();
    }

    @Nested
    class ValidSheets {
        @ParameterizedTest
        @ValueSource(strings = {"peachtree.csv", "krug.csv"})
        void readsTheExamplesAndWritesThemBack(String name) throws IOException {
            SheetReadResult result = read(example(name));
            assertThat(result.problems()).isEmpty();
            Sheet sheet = result.sheet().orElseThrow();
            assertThat(sheet.teams()).hasSize(10);
            assertThat(reader.read(new SheetWriter().write(sheet)).sheet()).hasValue(sheet);
        }

        @Test
        void acceptsByteOrderMarkBlankRowsAndWindowsLineEnds() throws IOException {
            String text = "\uFEFF" + example("krug.csv").replace("\n", "\r\n") + ",,\r\n\r\n";
            assertThat(problems(text)).isEmpty();
        }

        @Test
        void acceptsHundredThousandRows() {
            SheetReadResult result = reader.read(Sheets.withTeams(SheetReader.MAX_ROWS - 3));
            assertThat(result.problems()).isEmpty();
            assertThat(result.sheet().orElseThrow().teams()).hasSize(SheetReader.MAX_ROWS - 3);
        }
    }

    @Nested
    class FileProblems {
        @ParameterizedTest
        @ValueSource(strings = {"", "\n\n", "\uFEFF"})
        void namesAnEmptyFile(String text) {
            assertThat(problems(text)).containsExactly("the file is empty");
        }

        @Test
        void namesWrongEncodings() throws IOException {
            byte[] latin = example("krug.csv").replace("board", "bo\u00e4rd").getBytes(StandardCharsets.ISO_8859_1);
            assertThat(reader.read(latin).problems().get(0).row()).isEqualTo(11);
            byte[] utf16 = example("krug.csv").getBytes(StandardCharsets.UTF_16);
            assertThat(reader.read(utf16).problems().get(0).message()).contains("UTF-16");
            byte[] unmarked = example("krug.csv").getBytes(Charset.forName("UTF-16LE"));
            assertThat(reader.read(unmarked).problems().get(0).message()).contains("NUL");
        }

        @Test
        void namesMissingUnknownAndDoubleColumns() throws IOException {
            String text = example("krug.csv").replaceFirst("weight,requests_per_second", "wait,burst");
            assertThat(problems(text))
                    .containsExactly(
                            "row 1, column wait: unknown column",
                            "row 1, column burst: column is there twice",
                            "row 1, column weight: column is missing",
                            "row 1, column requests_per_second: column is missing");
        }

        @Test
        void namesAnOpenQuote() throws IOException {
            assertThat(problems(example("krug.csv") + "team,\"open")).hasSize(1);
        }

        @Test
        void refusesTooManyRowsAndBoundsTheList() {
            assertThat(reader.read(Sheets.withTeams(SheetReader.MAX_ROWS)).isValid())
                    .isFalse();
            String bad = new String(Sheets.withTeams(50_000), StandardCharsets.UTF_8).replace(",1,0,0,", ",0,0,0,");
            SheetReadResult result = read(bad);
            assertThat(result.problems()).hasSize(SheetProblems.MAX_KEPT);
            assertThat(result.problemCount()).isEqualTo(50_000);
        }
    }

    @Nested
    class RowProblems {
        /** Each line: text to replace in the Krug example, its replacement, the expected problem. */
        @ParameterizedTest
        @CsvSource(delimiter = '|', textBlock = """
            team,board          | team,drivers        | row 11, column name: is the same as in row 2
            team,board          | Team,board          | row 11, column kind: "Team" is not team, service, rule or placement
            ,35,0,0,            | ,x,0,0,             | row 2, column weight: "x" is not a whole number from 1 to 1000
            ,35,0,0,            | ,0,0,0,             | row 2, column weight: "0" is not a whole number from 1 to 1000
            ,35,0,0,            | ,35,5,0,            | row 2, column burst: must be at least 1 when requests_per_second is set
            reports,3,          | report,3,           | row 17, column service: no service has the name "report"
            board,reports,7   | bord,reports,7    | row 16, column team: no team has the name "bord"
            sorting-hall,tagging,6 | drivers,tagging,6 | row 19, column team: overlaps row 18: same team and model
            board,reports,7   | *,reports,7       | row 17, column team: overlaps row 16: same team and model
            drivers,drivers,9 | *,drivers,9       | row 19, column team: is never reached: row 18 takes every team
            reports,3,          | reports,10,         | row 17, column priority: "10" is not a whole number from 0 to 9
            large,krug-large,1.2| large,krug-large,NaN| row 12, column load_bound: "NaN" is not a number from 1.01 to 10.0
            plain,pickups,,     | plain,pickups,m,    | row 15, column model: must be empty for a plain service
            plain,pickups,      | plain,large,        | row 15, column pool: holds both model engines and plain services
            bales,3             | ,0                  | row 25, column model: is placed in the same pool by row 24
            team,board          | team,               | row 11, column name: must not be empty
            """)
        void namesRowAndColumn(String before, String after, String problem) throws IOException {
            String text = example("krug.csv");
            assertWithMessage("example holds %s", before).that(text).contains(before);
            assertThat(problems(text.replaceFirst(Pattern.quote(before), after)))
                    .contains(problem);
        }

        @Test
        void namesBadAndDoubleKeys() throws IOException {
            String text = example("krug.csv");
            Sheet sheet = read(text).sheet().orElseThrow();
            String first = sheet.teams().get(0).keySha256();
            String second = sheet.teams().get(1).keySha256();
            assertThat(problems(text.replace(second, first)))
                    .containsExactly("row 3, column key_sha256: is the same as in row 2");
            assertThat(problems(text.replace(second, second.substring(1))))
                    .containsExactly("row 3, column key_sha256: must be a SHA-256 digest: 64 hexadecimal digits in"
                            + " lower case");
        }

        @Test
        void namesServicesWithoutPlacementAndPoolsWithoutService() throws IOException {
            String text = example("krug.csv").replace("placement,,,,,,,large,", "placement,,,,,,,lange,");
            assertThat(problems(text))
                    .containsExactly(
                            "row 12, column model: no placement puts it in pool large",
                            "row 23, column pool: no service has the pool \"lange\"");
        }

        @Test
        void namesValuesInColumnsOfOtherKinds() throws IOException {
            String text = example("krug.csv").replaceFirst("(?m)^(team,board.*),$", "$1,4");
            assertThat(problems(text)).containsExactly("row 11, column engines: must be empty in a team row");
        }
    }

    @Group
    class ArbitraryContent {
        @Property(seed = "20261203", tries = 500)
        void neverThrows(@ForAll byte[] content) {
            assertThat(reader.read(content).isValid()).isFalse();
        }
    }
}
