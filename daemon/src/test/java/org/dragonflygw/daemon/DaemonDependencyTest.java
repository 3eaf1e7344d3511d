package org.dragonflygw.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks which modules and packages the daemon and the wire module may depend on. */
final class DaemonDependencyTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter(List.of(new ImportOption.DoNotIncludeTests())).importPackages("org.dragonflygw");

    @Test
    void daemonDoesNotDependOnCliStandinsOrBench() {
        noClasses()
                .that()
                .resideInAPackage("org.dragonflygw.daemon..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.dragonflygw.cli..", "org.dragonflygw.standins..", "org.dragonflygw.bench..")
                .check(CLASSES);
    }

    @Test
    void wireDoesNotDependOnDaemonPlatformOrStandins() {
        noClasses()
                .that()
                .resideInAPackage("org.dragonflygw.wire..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.dragonflygw.daemon..", "org.dragonflygw.platform..", "org.dragonflygw.standins..")
                .check(CLASSES);
    }

    @Test
    void endpointAndPeerDoNotDependOnCaller() {
        noClasses()
                .that()
                .resideInAnyPackage("org.dragonflygw.daemon.endpoint..", "org.dragonflygw.daemon.peer..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.dragonflygw.daemon.caller..")
                .check(CLASSES);
    }
}
