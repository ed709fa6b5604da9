package org.acaciafold.proof.fuzz;

import java.util.List;
import java.util.Optional;
import java.util.Random;

import net.jqwik.api.RandomGenerator;
import net.jqwik.api.Shrinkable;
import net.jqwik.api.sessions.JqwikSession;

/** Runs fuzz cases from the command line: {@code FuzzMain --seed N --cases N [--domains N] [--trace]}. */
public final class FuzzMain {
    private static final int GENERATOR_SIZE = 1_000;
    private static final int SHRINK_ATTEMPTS = 150;
    private static final int TRACE_LINES = 800;

    private final int domains;
    private final boolean trace;
    private final FuzzCounts counts = new FuzzCounts();

    private FuzzMain(int domains, boolean trace) {
        this.domains = domains;
        this.trace = trace;
    }

    public static void main(String[] arguments) {
        long seed = number(arguments, "--seed", 1);
        long cases = number(arguments, "--cases", 200);
        int domains = (int) number(arguments, "--domains", 3);
        FuzzMain main = new FuzzMain(domains, List.of(arguments).contains("--trace"));
        int[] failed = {0};
        JqwikSession.run(() -> failed[0] = main.runAll(seed, cases));
        System.out.println(main.counts);
        System.out.println((cases - failed[0]) + " passed, " + failed[0] + " failed");
        System.exit(failed[0] == 0 ? 0 : 1);
    }

    private int runAll(long seed, long cases) {
        RandomGenerator<List<Action>> generator = Actions.cases().generator(GENERATOR_SIZE, true);
        int failed = 0;
        for (long number = seed; number < seed + cases; number++) {
            Shrinkable<List<Action>> generated = generator.next(new Random(number));
            Optional<FuzzCase.Finding> finding = run(number, generated.value());
            if (finding.isPresent()) {
                failed++;
                report(number, generated, finding.get());
            }
        }
        return failed;
    }

    private void report(long seed, Shrinkable<List<Action>> generated, FuzzCase.Finding finding) {
        System.out.println("RED seed " + seed + ": " + finding.violation());
        if (!trace) {
            System.out.println("  replay: bin/fuzz --seed " + seed + " --cases 1 --domains " + domains + " --trace");
            return;
        }
        Shrinkable<List<Action>> smallest = shrink(seed, generated);
        FuzzCase.Finding shrunk = run(seed, smallest.value()).orElse(finding);
        System.out.println("  smallest steps: " + smallest.value() + "\n  " + shrunk.violation());
        List<String> lines = shrunk.trace();
        lines.subList(Math.max(0, lines.size() - TRACE_LINES), lines.size()).forEach(System.out::println);
    }

    private Optional<FuzzCase.Finding> run(long seed, List<Action> steps) {
        FuzzCase fuzzCase = FuzzCase.of(seed, domains, steps);
        Optional<FuzzCase.Finding> finding = fuzzCase.run();
        counts.add(fuzzCase.world().counts());
        return finding;
    }

    /** Repeatedly replaces a failing case by a smaller one that still fails, within a limited number of attempts. */
    private Shrinkable<List<Action>> shrink(long seed, Shrinkable<List<Action>> failing) {
        Shrinkable<List<Action>> smallest = failing;
        int attempts = 0;
        boolean smaller = true;
        while (smaller && attempts < SHRINK_ATTEMPTS) {
            smaller = false;
            for (Shrinkable<List<Action>> candidate :
                    smallest.shrink().limit(SHRINK_ATTEMPTS).toList()) {
                attempts++;
                if (run(seed, candidate.value()).isPresent()) {
                    smallest = candidate;
                    smaller = true;
                    break;
                }
                if (attempts >= SHRINK_ATTEMPTS) {
                    break;
                }
            }
        }
        return smallest;
    }

    private static long number(String[] arguments, String name, long defaultValue) {
        for (int i = 0; i + 1 < arguments.length; i++) {
            if (arguments[i].equals(name)) {
                return Long.parseLong(arguments[i + 1]);
            }
        }
        return defaultValue;
    }
}
