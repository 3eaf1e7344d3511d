package org.dragonflygw.edge;

import static com.google.common.truth.Truth.assertWithMessage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks the directions of dependencies between packages that docs/ARCHITECTURE.md shows. */
final class EdgeDependencyTest {
    private static final String EDGE = "org.dragonflygw.edge.";
    private static final JavaClasses CLASSES = new ClassFileImporter(List.of(new ImportOption.DoNotIncludeTests()))
            .importPackages("org.dragonflygw.edge", "org.dragonflygw.core", "org.dragonflygw.platform");

    /** Names of the platform's calls, header fields and settings; only the adapter may contain them. */
    private static final Pattern PLATFORM_NAMES =
            Pattern.compile("\"[^\"]*(Dragonflygw-|/api/|tenant|node_name|api_keys|slo_ms|back_?end)[^\"]*\"");

    private static void assertDoesNotDependOn(String from, String... to) {
        noClasses()
                .that()
                .resideInAPackage(EDGE + from + "..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(Stream.of(to).map(t -> EDGE + t + "..").toArray(String[]::new))
                .check(CLASSES);
    }

    @Test
    void upstreamStoreAndPeersDependNeitherOnFrontNorOnEachOther() {
        assertDoesNotDependOn("upstream", "front", "store", "peers", "stop");
        assertDoesNotDependOn("store", "front", "upstream", "peers", "stop");
        assertDoesNotDependOn("peers", "front", "upstream", "store", "stop");
    }

    @Test
    void frontDoesNotDependOnStoreOrPeers() {
        assertDoesNotDependOn("front", "store", "peers", "stop");
    }

    @Test
    void opsAndLogDoNotDependOnServingPackages() {
        assertDoesNotDependOn("ops", "front", "upstream", "store", "peers", "stop");
        assertDoesNotDependOn("log", "front", "upstream", "store", "peers", "stop", "ops");
    }

    @Test
    void adapterDoesNotDependOnNetworkLibraries() {
        noClasses()
                .that()
                .resideInAPackage("org.dragonflygw.platform.adapter..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io.netty..", "java.net.http..", "org.apache.hc..", "org.dragonflygw.edge..")
                .check(CLASSES);
    }

    @Test
    void onlyTheAdapterContainsPlatformNames() throws IOException {
        for (String module : List.of("core", "edge", "wire")) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main", "java"))) {
                for (Path file :
                        files.filter(f -> f.toString().endsWith(".java")).toList()) {
                    assertWithMessage("%s", file)
                            .that(PLATFORM_NAMES
                                    .matcher(Files.readString(file))
                                    .results()
                                    .map(r -> r.group())
                                    .toList())
                            .isEmpty();
                }
            }
        }
    }
}
