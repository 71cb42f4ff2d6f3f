package hyssopturn.config;

import hyssopturn.helper.Causes;
import hyssopturn.port.Clock;
import hyssopturn.port.InDoubtException;
import hyssopturn.port.LogService;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

/**
 * Publishes one document and finds out what became of it.
 *
 * <p>A record whose fate is unknown is appended again under the same name: of several copies at
 * most one is accepted, since their base is current at most once.
 */
public final class Publisher {
    private static final Duration PAUSE = Duration.ofMillis(100);

    private final LogService log;
    private final Clock clock;
    private final ConfigHistory history;
    private final ConfigRecord.Publication template;
    private final OptionalLong base;
    private final long deadlineNanos;
    private final CompletableFuture<Published> result = new CompletableFuture<>();
    private ConfigRecord.Publication record;
    private boolean mayBeAppended;

    private Publisher(
            LogService log,
            Clock clock,
            Seal seal,
            ConfigRecord.Publication template,
            OptionalLong base,
            Duration limit) {
        this.log = log;
        this.clock = clock;
        this.template = template;
        this.base = base;
        history = new ConfigHistory(log, seal);
        deadlineNanos = clock.nanos() + limit.toNanos();
    }

    /**
     * Publishes a document.
     *
     * @param log the log
     * @param clock time
     * @param seal seal of the nodes; it only has to be theirs if the log has lost its start
     * @param publication unique name of the publication
     * @param document the document
     * @param base version that it was edited from, the one in force if empty, or {@link
     *     ConfigRecord#ANY_BASE}
     * @param limit greatest time to find out
     * @return what became of it; fails with {@link ConfigInvalidException} if the document has
     *     problems, in which case nothing was appended
     */
    public static CompletableFuture<Published> publish(
            LogService log,
            Clock clock,
            Seal seal,
            String publication,
            String document,
            OptionalLong base,
            Duration limit) {
        try {
            ConfigDocument.parse(document, 0);
        } catch (ConfigInvalidException e) {
            return CompletableFuture.failedFuture(e);
        }
        ConfigRecord.Publication template =
                new ConfigRecord.Publication(publication, base.orElse(0), document);
        Publisher publisher = new Publisher(log, clock, seal, template, base, limit);
        publisher.readBase();
        return publisher.result;
    }

    private void readBase() {
        history.readToEnd().whenComplete((line, error) -> baseRead(error));
    }

    private void baseRead(Throwable error) {
        if (error != null) {
            again(this::readBase);
            return;
        }
        FoldState state = history.state();
        if (base.isEmpty() && !state.settled()) {
            result.complete(new Published.NotSent("the log has lost the version in force"));
            return;
        }
        if (base.isPresent() && base.getAsLong() >= 0 && lost(state)) {
            String winner = state.accepted().map(AcceptedDocument::publication).orElse("");
            result.complete(
                    new Published.Rejected(
                            new Verdict.Superseded(base.getAsLong(), state.version(), winner)));
            return;
        }
        record =
                new ConfigRecord.Publication(
                        template.publication(), base.orElse(state.version()), template.document());
        append();
    }

    private boolean lost(FoldState state) {
        return state.settled() && base.getAsLong() != state.version();
    }

    private void append() {
        log.append(ConfigController.STREAM, record.encode())
                .whenComplete((offset, error) -> appended(error));
    }

    private void appended(Throwable error) {
        boolean inDoubt = error != null && Causes.unwrap(error) instanceof InDoubtException;
        mayBeAppended = mayBeAppended || error == null || inDoubt;
        if (mayBeAppended) {
            settle();
        } else {
            again(this::append);
        }
    }

    private void settle() {
        history.readToEnd().whenComplete((line, error) -> settled(error));
    }

    private void settled(Throwable error) {
        if (error != null) {
            again(this::settle);
            return;
        }
        Optional<Verdict> verdict = history.verdict(template.publication());
        if (verdict.isPresent()) {
            result.complete(published(verdict.get()));
        } else if (record.base() == ConfigRecord.ANY_BASE) {
            again(this::settle);
        } else {
            again(this::append);
        }
    }

    private Published published(Verdict verdict) {
        return switch (verdict) {
            case Verdict.Accepted accepted -> new Published.Accepted(accepted.version());
            case Verdict.Repeated repeated -> new Published.Accepted(repeated.version());
            case Verdict.Undetermined undetermined ->
                    new Published.Unknown(
                            template.publication(), "the log has lost the version in force");
            default -> new Published.Rejected(verdict);
        };
    }

    private void again(Runnable step) {
        if (clock.nanos() - deadlineNanos < 0) {
            clock.after(PAUSE, step);
            return;
        }
        result.complete(
                mayBeAppended
                        ? new Published.Unknown(template.publication(), "the log does not answer")
                        : new Published.NotSent("the log does not answer"));
    }
}
