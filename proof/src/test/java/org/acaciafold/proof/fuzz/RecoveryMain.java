package org.acaciafold.proof.fuzz;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Prints the recovery measurements and optionally writes them to a file: {@code RecoveryMain [--write FILE]}. */
public final class RecoveryMain {
    private RecoveryMain() {}

    public static void main(String[] arguments) throws IOException {
        List<String> report = new ArrayList<>();
        report.add("# Recovery, measured on the fake clock");
        report.add("");
        report.add("Made by `bin/recovery --write docs/results/recovery.md`; see `Recovery` for each case.");
        report.add("");
        report.addAll(new Recovery().run());
        report.forEach(System.out::println);
        if (arguments.length == 2 && arguments[0].equals("--write")) {
            Files.write(Path.of(arguments[1]), report);
        }
    }
}
