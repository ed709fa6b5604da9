package org.acaciafold.entry;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

class ArchitectureTest {
    /** Names of calls and fields in the platform's protocol that resemble no other word of the product. */
    private static final Pattern PLATFORM_NAMES = Pattern.compile(
            "\"[^\"]*(rows-(tx|get|feed|parts)|run-(start|stop)|expected_rev|fencing_token|last_seen|until_ms|path_prefix"
                    + "|upper_bound|anti_affinity|long_running|api_keys|wait_ms|/v1/(hold|advise|pace))[^\"]*\"");

    private static final JavaClasses CLASSES = new ClassFileImporter(List.of(new ImportOption.DoNotIncludeTests()))
            .importPackages("org.acaciafold.fleet", "org.acaciafold.platform", "org.acaciafold.entry");

    @Test
    void shouldKeepTheSchedulerFreeOfInputAndOutput() {
        noClasses()
                .that()
                .resideInAPackage("org.acaciafold.fleet..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio..",
                        "java.util.concurrent..",
                        "reactor..",
                        "io.netty..",
                        "com.fasterxml..")
                .check(CLASSES);
    }

    @Test
    void shouldKeepTheAdapterFreeOfTheScheduler() {
        noClasses()
                .that()
                .resideInAPackage("org.acaciafold.platform..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.acaciafold.fleet.scheduling..", "org.acaciafold.fleet.leadership..")
                .check(CLASSES);
    }

    @Test
    void shouldNameThePlatformsCallsAndFieldsOnlyInTheAdapter() throws IOException {
        List<String> found = new ArrayList<>();
        for (String module : List.of("fleet", "entry", "clients", "settings", "wire", "core")) {
            try (Stream<Path> files = Files.walk(Path.of("..", module, "src", "main"))) {
                for (Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    if (PLATFORM_NAMES.matcher(Files.readString(file)).find()) {
                        found.add(file.toString());
                    }
                }
            }
        }
        assertEquals(List.of(), found);
    }
}
