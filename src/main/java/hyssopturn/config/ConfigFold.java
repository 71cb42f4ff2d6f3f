package hyssopturn.config;

import hyssopturn.config.ConfigRecord.Publication;
import hyssopturn.config.ConfigRecord.Snapshot;
import hyssopturn.model.Config;
import hyssopturn.port.LogPage;

import java.util.Optional;

/**
 * Decides which configuration is in force: the first valid publication whose base is current wins.
 *
 * <p>The decision depends on the log alone. A reader that lacks the start of the log judges nothing
 * until a snapshot settles it: one that had read all records before those that the reader has, and
 * that no publication overtook.
 */
public class ConfigFold {
    private final Seal seal;

    /**
     * Creates the fold.
     *
     * @param seal seals what is accepted and checks snapshots
     */
    public ConfigFold(Seal seal) {
        this.seal = seal;
    }

    /**
     * Result of one record.
     *
     * @param state what is known after it
     * @param verdict what became of it
     */
    public record Step(FoldState state, Verdict verdict) {}

    /**
     * Notes which records the log still keeps.
     *
     * @param state what is known
     * @param first lowest offset that the log keeps
     * @return what is known then: no longer settled if records were dropped unread
     */
    public FoldState open(FoldState state, long first) {
        return first > state.through() + 1 ? state.missed(first) : state;
    }

    /**
     * Applies the next record.
     *
     * @param state what is known before it
     * @param entry the record
     * @return what is known after it and what became of it
     */
    public Step apply(FoldState state, LogPage.Entry entry) {
        if (entry.data().size() > ConfigRecord.MAX_BYTES) {
            return skipped(state, entry.offset(), Verdict.Cause.OVERSIZED);
        }
        return ConfigRecord.decode(entry.data())
                .map(record -> judge(state, entry.offset(), record))
                .orElseGet(() -> skipped(state, entry.offset(), Verdict.Cause.MALFORMED));
    }

    private static Step skipped(FoldState state, long offset, Verdict.Cause cause) {
        return new Step(state.read(offset), new Verdict.Skipped(cause));
    }

    private Step judge(FoldState state, long offset, ConfigRecord record) {
        return switch (record) {
            case Publication publication -> publication(state, offset, publication);
            case Snapshot snapshot -> snapshot(state, offset, snapshot);
        };
    }

    private Step publication(FoldState before, long offset, Publication record) {
        FoldState state = before.published(offset);
        boolean overAny = record.base() == ConfigRecord.ANY_BASE;
        if (!state.settled() && !overAny) {
            return new Step(state, new Verdict.Undetermined());
        }
        if (!overAny && !onTop(state, record)) {
            return new Step(state, late(state, record));
        }
        try {
            Config config = ConfigDocument.parse(record.document(), offset);
            AcceptedDocument accepted =
                    seal.sealed(offset, record.publication(), record.document());
            return new Step(state.holding(accepted, config, true), new Verdict.Accepted(offset));
        } catch (ConfigInvalidException e) {
            return new Step(state, new Verdict.Invalid(e.problems()));
        }
    }

    /** Tells whether a publication was edited from the version in force. */
    boolean onTop(FoldState state, Publication record) {
        return record.base() == state.version();
    }

    private static Verdict late(FoldState state, Publication record) {
        String winner = state.accepted().map(AcceptedDocument::publication).orElse("");
        if (winner.equals(record.publication())) {
            return new Verdict.Repeated(state.version());
        }
        return new Verdict.Superseded(record.base(), state.version(), winner);
    }

    private Step snapshot(FoldState before, long offset, Snapshot record) {
        FoldState state = before.read(offset);
        AcceptedDocument accepted = record.accepted();
        Optional<Config> config = checked(accepted);
        if (config.isEmpty()) {
            return new Step(state, new Verdict.Skipped(Verdict.Cause.UNPROVEN));
        }
        Verdict verdict = new Verdict.Restated(accepted.version());
        if (accepted.version() < state.version()) {
            return new Step(state, verdict);
        }
        boolean settles =
                state.start() <= record.through() + 1
                        && state.lastPublication() <= record.through();
        if (state.settled()) {
            boolean same = accepted.version() == state.version();
            return new Step(same && settles ? state.carried(offset) : state, verdict);
        }
        return new Step(state.holding(accepted, config.get(), settles), verdict);
    }

    /**
     * Reads a document that came with a seal.
     *
     * @param accepted the document
     * @return the configuration, empty if the seal is wrong or the document cannot be read
     */
    Optional<Config> checked(AcceptedDocument accepted) {
        if (accepted.version() <= 0 || !seal.good(accepted)) {
            return Optional.empty();
        }
        try {
            return Optional.of(ConfigDocument.parse(accepted.document(), accepted.version()));
        } catch (ConfigInvalidException e) {
            return Optional.empty();
        }
    }
}
