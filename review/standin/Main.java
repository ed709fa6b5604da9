package review;

import java.nio.file.Path;

/** Runs one case: exits with 10 if the rule was broken, 0 if it held, 2 if the case could not run. */
public final class Main {
    private static final long MAX_MS = 112_000;
    private static final int BROKEN = 10;

    private Main() {}

    /** A case; returns the number of breaches. */
    interface Case {
        int run(Record record, Path directory, boolean trouble) throws Exception;
    }

    /** Thrown when a case could not run. */
    static final class NotRunException extends Exception {
        private static final long serialVersionUID = 1L;

        NotRunException(String message) {
            super(message);
        }
    }

    public static void main(String[] arguments) throws Exception {
        Thread guard = Thread.ofPlatform().daemon().start(() -> {
            try {
                Thread.sleep(MAX_MS);
                System.err.println("the case took too long");
                Runtime.getRuntime().halt(2);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Case selected = switch (arguments[0]) {
            case "many-ends" -> ManyEnds::run;
            case "large-jobs" -> LargeRows::largeJobs;
            case "crash-loop" -> CrashLoop::run;
            case "ended-before" -> EndedBefore::run;
            case "lost-cancel" -> LostCancel::run;
            case "domain-crash" -> DomainCrash::run;
            case "recurring-job" -> LargeRows::recurringJob;
            default -> throw new IllegalArgumentException(arguments[0]);
        };
        int status;
        try (Record record = new Record(Path.of(arguments[1], "record.txt"))) {
            record.line("case %s, disruption %s", arguments[0], trouble ? "on" : "off");
            try {
                int breaches = selected.run(record, Path.of(arguments[2]), trouble);
                record.line("result: %s", breaches > 0 ? "rule broken, " + breaches + " times" : "rule held");
                status = breaches > 0 ? BROKEN : 0;
            } catch (Exception e) {
                record.line("result: could not run: %s", e);
                status = 2;
            }
        }
        guard.interrupt();
        System.exit(status);
    }
}
