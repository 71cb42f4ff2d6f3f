package hyssopturn.cli;

import hyssopturn.event.Entry;
import hyssopturn.event.EventJson;
import hyssopturn.event.Timeline;
import hyssopturn.event.TimelinePage;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.helper.Units;

import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;

/** Merges the events of all nodes into one line. */
@Command(
        name = "timeline",
        mixinStandardHelpOptions = true,
        description = "Merges the events of all nodes into one line.",
        footer = {
            "",
            "Examples:",
            "  hyssopturn timeline --account=ana --since=10m",
            "  hyssopturn timeline --request=node-1.5f2c --format=html > request.html"
        })
final class TimelineCommand implements Callable<Integer> {
    private enum Format {
        TEXT,
        JSON,
        HTML
    }

    @Option(names = "--request", paramLabel = "ID", description = "only this request")
    private String request;

    @Option(names = "--class", paramLabel = "CLASS", description = "only this class of work")
    private String workClass;

    @Option(names = "--endpoint", paramLabel = "ID", description = "only this endpoint")
    private String endpoint;

    @Option(names = "--account", paramLabel = "ACCOUNT", description = "only this account")
    private String account;

    @Option(
            names = "--since",
            paramLabel = "SPAN",
            defaultValue = "1d",
            description = "only the last SPAN, such as 10m. Default: ${DEFAULT-VALUE}.")
    private String since;

    @Option(
            names = "--format",
            defaultValue = "text",
            description = "text, json or html. Default: ${DEFAULT-VALUE}.")
    private Format format;

    private CommandSpec spec;

    @Spec
    void spec(CommandSpec value) {
        spec = value;
        Settings.declare(value, Nodes.SETTINGS);
    }

    @Override
    public Integer call() {
        Settings settings = Settings.read(spec, Nodes.SETTINGS);
        Duration span =
                Units.duration(since)
                        .orElseThrow(
                                () ->
                                        new InvalidArgumentException(
                                                "--since must be a duration such as 10m"));
        try (Nodes nodes = new Nodes(settings)) {
            List<List<Entry>> parts = new ArrayList<>();
            List<String> silent = new ArrayList<>();
            for (Nodes.Answer answer : nodes.ask("/v1/events")) {
                answer.body()
                        .flatMap(EventJson::read)
                        .ifPresentOrElse(parts::add, () -> silent.add(answer.node().id().value()));
            }
            print(Timeline.merge(parts, silent, query(span)));
            return silent.isEmpty() ? ExitCodes.OK : ExitCodes.FAILED;
        }
    }

    private Timeline.Query query(Duration span) {
        return new Timeline.Query(
                Optional.ofNullable(request),
                Optional.ofNullable(workClass),
                Optional.ofNullable(endpoint),
                Optional.ofNullable(account),
                System.currentTimeMillis() - span.toMillis(),
                Long.MAX_VALUE);
    }

    private void print(Timeline timeline) {
        String text =
                switch (format) {
                    case TEXT -> TimelinePage.text(timeline);
                    case JSON -> EventJson.write(timeline.entries());
                    case HTML -> TimelinePage.html(timeline);
                };
        spec.commandLine().getOut().println(text);
    }
}
