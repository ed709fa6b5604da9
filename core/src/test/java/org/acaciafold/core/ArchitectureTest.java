package org.acaciafold.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

class ArchitectureTest {
    private static final JavaClasses CLASSES = new ClassFileImporter(
                    java.util.List.of(new ImportOption.DoNotIncludeTests()))
            .importPackages("org.acaciafold.core");

    @Test
    void shouldDoNoInputOrOutputWhenInCore() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.file..", "java.nio.channels..", "reactor..", "io.netty..")
                .check(CLASSES);
    }

    @Test
    void shouldStartNoThreadsWhenInCore() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.util.concurrent..")
                .check(CLASSES);
    }
}
