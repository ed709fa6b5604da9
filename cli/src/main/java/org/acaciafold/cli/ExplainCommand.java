package org.acaciafold.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.Options;

/** Merges the log lines of all hosts about one job by time, and prints the line that determined its outcome. */
final class ExplainCommand {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Patterns of the log lines that determine the outcome reported to the client, the most specific first. */
    private static final List<Pattern> DECISIVE_PATTERNS = List.of(
            Pattern.compile("task given up .*"),
            Pattern.compile("job ended .*"),
            Pattern.compile("job cancelled .*"),
            Pattern.compile("request .*status=(4|5)[0-9]{2}.*"),
            Pattern.compile("run lost .*|start refused .*"));

    private ExplainCommand() {}

    static Command command() {
        return new Command(
                "explain",
                "ID LOGS",
                "show the log lines of entry hosts (a file, or a directory with one for each host) about a job",
                new Options(),
                ExplainCommand::run);
    }

    private static ExitCode run(Invocation invocation) throws CommandException {
        String id = invocation.argument(0);
        List<Line> lines = new ArrayList<>();
        for (Path file : files(Path.of(invocation.argument(1)))) {
            lines.addAll(linesAbout(id, file));
        }
        lines.sort(Comparator.comparingLong(Line::atMs));
        if (lines.isEmpty()) {
            invocation.printDiagnostic("no line about " + id);
            return ExitCode.FAILED;
        }
        for (Line line : lines) {
            invocation.print(line.format());
        }
        findDecisiveLine(lines).ifPresent(line -> invocation.print("decided by: " + line.format()));
        return ExitCode.DONE;
    }

    private static Optional<Line> findDecisiveLine(List<Line> lines) {
        for (Pattern pattern : DECISIVE_PATTERNS) {
            Optional<Line> last = lines.reversed().stream()
                    .filter(line -> pattern.matcher(line.message).matches())
                    .findFirst();
            if (last.isPresent()) {
                return last;
            }
        }
        return Optional.empty();
    }

    private static List<Path> files(Path logs) throws CommandException {
        try (Stream<Path> walk = Files.walk(logs)) {
            return walk.filter(Files::isRegularFile).sorted().toList();
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, logs + " cannot be read: " + e, e);
        }
    }

    private static List<Line> linesAbout(String id, Path file) throws CommandException {
        List<Line> lines = new ArrayList<>();
        try (Stream<String> all = Files.lines(file, StandardCharsets.UTF_8)) {
            all.filter(text -> text.contains(id))
                    .forEach(text -> parse(text, file.getFileName().toString()).ifPresent(lines::add));
        } catch (IOException e) {
            throw new CommandException(ExitCode.USAGE, file + " cannot be read: " + e, e);
        }
        return lines;
    }

    /** Parses a log line; a prefix that a log collector added is read as the host name. */
    private static Optional<Line> parse(String text, String fileName) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = MAPPER.readTree(text.substring(start));
            String prefix = text.substring(0, start).trim();
            String host = prefix.isEmpty() ? fileName : prefix.substring(prefix.lastIndexOf(' ') + 1);
            return Optional.of(new Line(
                    node.path("timestamp").asLong(),
                    host,
                    node.path("level").asText(),
                    node.path("formattedMessage").asText()));
        } catch (JsonProcessingException e) {
            // The line is truncated or belongs to another program.
            return Optional.empty();
        }
    }

    private record Line(long atMs, String host, String level, String message) {
        private String format() {
            return Instant.ofEpochMilli(atMs) + " " + host + " " + level + " " + message;
        }
    }
}
