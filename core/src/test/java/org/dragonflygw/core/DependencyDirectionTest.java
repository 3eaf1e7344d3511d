package org.dragonflygw.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

final class DependencyDirectionTest {
    private static final JavaClasses CORE = new ClassFileImporter(
                    java.util.List.of(new ImportOption.DoNotIncludeTests()))
            .importPackages("org.dragonflygw.core");

    @Test
    void coreDependsOnNoOtherModule() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "org.dragonflygw.wire..",
                        "org.dragonflygw.platform..",
                        "org.dragonflygw.edge..",
                        "org.dragonflygw.daemon..",
                        "org.dragonflygw.cli..",
                        "org.dragonflygw.standins..",
                        "org.dragonflygw.bench..")
                .check(CORE);
    }

    @Test
    void coreDependsOnNoSocketsHttpOrThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "jakarta..", "org.apache..", "io.netty..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(CORE);
    }
}
