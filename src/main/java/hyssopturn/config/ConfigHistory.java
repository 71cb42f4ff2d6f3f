package hyssopturn.config;

import hyssopturn.port.LogPage;
import hyssopturn.port.LogService;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Reads the stream of configurations with the verdict on each record. */
public final class ConfigHistory {
    private static final int PAGE = 1_000;

    private final LogService log;
    private final ConfigFold fold;
    private final List<Line> lines = new ArrayList<>();
    private FoldState state = FoldState.INITIAL;

    /**
     * Creates a history that has read nothing.
     *
     * @param log the log
     * @param seal checks snapshots
     */
    public ConfigHistory(LogService log, Seal seal) {
        this.log = log;
        fold = new ConfigFold(seal);
    }

    /**
     * A record and what became of it.
     *
     * @param offset its offset
     * @param publication name of its publication, empty if it is none
     * @param base version that it was edited from, 0 if it is no publication
     * @param verdict what became of it
     */
    public record Line(long offset, String publication, long base, Verdict verdict) {}

    /**
     * Reads on to the end of the log as it was when the last page was read.
     *
     * @return completes at the end; fails with a {@link hyssopturn.port.PortException}
     */
    public CompletableFuture<Void> readToEnd() {
        return log.read(ConfigController.STREAM, state.through() + 1, PAGE, Duration.ZERO)
                .thenCompose(this::folded);
    }

    private CompletableFuture<Void> folded(LogPage page) {
        state = fold.open(state, page.first());
        page.records().stream().filter(e -> e.offset() > state.through()).forEach(this::line);
        return page.next() < page.end() ? readToEnd() : CompletableFuture.completedFuture(null);
    }

    private void line(LogPage.Entry entry) {
        ConfigFold.Step step = fold.apply(state, entry);
        state = step.state();
        Optional<ConfigRecord.Publication> publication =
                Optional.of(entry.data())
                        .filter(data -> !(step.verdict() instanceof Verdict.Skipped))
                        .flatMap(ConfigRecord::decode)
                        .filter(ConfigRecord.Publication.class::isInstance)
                        .map(ConfigRecord.Publication.class::cast);
        lines.add(
                new Line(
                        entry.offset(),
                        publication.map(ConfigRecord.Publication::publication).orElse(""),
                        publication.map(ConfigRecord.Publication::base).orElse(0L),
                        step.verdict()));
    }

    /**
     * Returns what is known after the records read.
     *
     * @return the state
     */
    public FoldState state() {
        return state;
    }

    /**
     * Returns the records read.
     *
     * @return one line each, in order
     */
    public List<Line> lines() {
        return List.copyOf(lines);
    }

    /**
     * Finds what became of a publication.
     *
     * @param publication its name
     * @return the verdict on its first copy, empty if none was read
     */
    public Optional<Verdict> verdict(String publication) {
        return lines.stream()
                .filter(line -> line.publication().equals(publication))
                .map(Line::verdict)
                .findFirst();
    }
}
