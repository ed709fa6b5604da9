import java.nio.file.Path;

/** Runs a case; the exit code is 1 if its rule was broken, 0 if it held, 2 if the case could not run. */
final class Case {
    private static final long LIMIT_MS = 110_000;

    private Case() {}

    static void main(Script script, String number) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Thread.ofPlatform().daemon().start(() -> {
            try {
                Thread.sleep(LIMIT_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            System.exit(2);
        });
        int status = 2;
        try (Record record = new Record(Path.of("review", number, "record.txt"))) {
            record.line("disruption: " + trouble);
            try (Fleet fleet = script.fleet(record)) {
                Thread hook = new Thread(() -> fleet.hosts.forEach(host -> host.process.destroyForcibly()));
                Runtime.getRuntime().addShutdownHook(hook);
                if (fleet.ready(20_000)) {
                    status = script.run(fleet, record, trouble);
                } else {
                    record.line("the hosts were not ready in time");
                }
            }
            record.line(status == 1 ? "RULE BROKEN" : status == 0 ? "rule held" : "could not run");
        }
        System.exit(status);
    }

    /** What a case does. */
    interface Script {
        Fleet fleet(Record record) throws Exception;

        int run(Fleet fleet, Record record, boolean trouble) throws Exception;
    }
}
