package hyssopturn.cli;

import com.fasterxml.jackson.databind.JsonNode;

import hyssopturn.trace.RequestTrace;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;

/** Prints what log files say of one request. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = "Prints the story of a request from the log files of all nodes.",
        footer = {
            "",
            "Example:",
            "  hyssopturn explain 87e091b032ccff31 node-1.log node-2.log",
            "",
            "Exit codes: 0 found, 1 not on record, 2 wrong usage or unreadable file."
        })
final class ExplainCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(index = "0", paramLabel = "REQUEST", description = "Id of the request.")
    private String request;

    @Parameters(index = "1..*", arity = "1..*", paramLabel = "FILE", description = "Log files.")
    private List<Path> files;

    @Option(names = "--json", description = "Print the lines as they stand in the logs.")
    private boolean json;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        List<String> text = new ArrayList<>();
        for (Path file : files) {
            try {
                // logs may be torn in the middle of a character
                text.addAll(
                        new String(Files.readAllBytes(file), StandardCharsets.UTF_8)
                                .lines()
                                .toList());
            } catch (IOException e) {
                err.println("cannot read " + file + ": " + e);
                return ExitCodes.USAGE;
            }
        }
        RequestTrace story = RequestTrace.of(request, text);
        if (!story.found()) {
            err.println(
                    "request %s is not on record in %d lines (%d of them foreign or torn)"
                            .formatted(request, text.size(), story.skipped()));
            return ExitCodes.FAILED;
        }
        story.lines().forEach(line -> out.println(json ? line.toString() : text(line)));
        if (!json) {
            out.println(story.summary());
        }
        return ExitCodes.OK;
    }

    private static String text(JsonNode line) {
        StringBuilder text = new StringBuilder();
        text.append(line.path("wall_ms").asLong()).append(' ');
        text.append(line.path("node").asText()).append(' ');
        text.append(line.path("event").asText());
        line.properties().stream()
                .filter(f -> !List.of("wall_ms", "up_ms", "node", "event").contains(f.getKey()))
                .filter(f -> !f.getValue().asText().isEmpty() || f.getValue().isContainerNode())
                .forEach(
                        f ->
                                text.append(' ')
                                        .append(f.getKey())
                                        .append('=')
                                        .append(
                                                f.getValue().isContainerNode()
                                                        ? f.getValue().toString()
                                                        : f.getValue().asText()));
        return text.toString();
    }
}
