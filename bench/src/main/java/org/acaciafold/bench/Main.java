package org.acaciafold.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.bench.load.LoadBench;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.placement.PlacementFeature;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs the benchmark {@code policy}, {@code decisions} or {@code load} from the command line. */
public final class Main {
    private static final Options OPTIONS = new Options()
            .addOption(Option.builder()
                    .longOpt("write")
                    .hasArg()
                    .argName("DIR")
                    .desc("directory that the tables and plots are also written to")
                    .get())
            .addOption(Option.builder()
                    .longOpt("seed")
                    .hasArg()
                    .argName("N")
                    .desc("seed of the workloads; default 1")
                    .get())
            .addOption(Option.builder()
                    .longOpt("pattern")
                    .hasArg()
                    .argName("TITLE")
                    .desc("run only the patterns of load whose title contains this text")
                    .get())
            .addOption(Option.builder()
                    .longOpt("without")
                    .hasArg()
                    .argName("PART")
                    .desc("placement feature to disable in the acaciafold policy")
                    .get());
    private static final String USAGE =
            "usage: bin/bench policy|decisions|load [--seed N] [--without PART] [--pattern TITLE] [--write DIR]";

    private Main() {}

    /**
     * Runs a benchmark.
     *
     * @param args the name of the benchmark and its options
     * @throws IOException when the results cannot be written
     * @throws AcaciafoldException when a benchmark fails
     */
    public static void main(String[] args) throws IOException, AcaciafoldException {
        try {
            CommandLine line = new DefaultParser().parse(OPTIONS, args);
            List<String> names = line.getArgList();
            long seed = Long.parseLong(line.getOptionValue("seed", "1"));
            if (names.size() != 1) {
                throw new ParseException("expected the name of exactly one benchmark");
            }
            List<ResultTable> tables =
                    switch (names.getFirst()) {
                        case "policy" -> PolicyBench.run(seed, without(line));
                        case "decisions" -> DecisionsBench.run(seed);
                        case "load" -> LoadBench.run(seed, Optional.ofNullable(line.getOptionValue("pattern")));
                        default -> throw new ParseException("unknown benchmark: " + names.getFirst());
                    };
            String command = "bin/bench " + String.join(" ", args);
            report(names.getFirst(), command, tables, line.getOptionValue("write"));
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            System.err.println(USAGE);
            System.exit(2);
        }
    }

    private static Set<PlacementFeature> without(CommandLine line) {
        Set<PlacementFeature> features = EnumSet.noneOf(PlacementFeature.class);
        for (String name : line.getOptionValues("without") == null ? new String[0] : line.getOptionValues("without")) {
            features.add(PlacementFeature.valueOf(name.toUpperCase(Locale.ROOT)));
        }
        return features;
    }

    private static void report(String name, String command, List<ResultTable> tables, String directory)
            throws IOException {
        StringBuilder page = new StringBuilder("# Results of `" + command + "`\n\n");
        for (ResultTable table : tables) {
            page.append(table.text());
        }
        System.out.print(page);
        if (directory == null) {
            return;
        }
        Path target = Files.createDirectories(Path.of(directory));
        for (int i = 0; i < tables.size(); i++) {
            String file = String.format(Locale.ROOT, "%s-%02d.svg", name, i + 1);
            Files.writeString(target.resolve(file), BarChart.svg(tables.get(i)));
            page.append("![")
                    .append(tables.get(i).title())
                    .append("](")
                    .append(file)
                    .append(")\n");
        }
        Files.writeString(target.resolve(name + ".md"), page);
    }
}
