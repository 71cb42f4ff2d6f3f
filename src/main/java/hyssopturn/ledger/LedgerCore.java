package hyssopturn.ledger;

import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;
import hyssopturn.port.LogPage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;

/**
 * Decides on claims; knows no I/O and no clock.
 *
 * <p>Times are nanoseconds of a monotonic clock that began at or after zero. Every event returns
 * the actions to take, in order.
 */
final class LedgerCore {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final String author;
    private final LedgerFold fold;
    private final Outbox outbox;
    private final Pace pace;
    private final Upkeep upkeep;
    private final Map<Long, Ask> claims = new HashMap<>();
    private final Map<Fingerprint, List<Ask>> repeats = new HashMap<>();
    private final PriorityQueue<Ask> deadlines =
            new PriorityQueue<>(Comparator.comparingLong((Ask a) -> a.deadline));
    private final Map<ClaimId, LedgerEntry.Carried> granted = new HashMap<>();
    private List<LedgerAction> actions = new ArrayList<>();
    private boolean whole;
    private boolean readable = true;
    // the log has fewer records than were read, so that it cannot be trusted any more
    private boolean lost;
    private long claimNumber;
    private long baseMillis;
    private long baseNanos;

    private static final class Ask {
        private final long id;
        private final CallKey key;
        private final Fingerprint call;
        private final Fingerprint body;
        private final long wallMillis;
        private final long deadline;
        private long claim;
        private boolean sent;
        private boolean ruled;

        Ask(long id, CallKey key, Fingerprint body, long wallMillis, long deadline) {
            this.id = id;
            this.key = key;
            this.call = Fingerprint.of(key);
            this.body = body;
            this.wallMillis = wallMillis;
            this.deadline = deadline;
        }
    }

    /** One record of a page; empty if it was malformed. */
    record Read(long offset, Optional<Batch> batch) {}

    LedgerCore(String author, LedgerSettings settings, RandomGenerator random) {
        this.author = author;
        fold = new LedgerFold(settings.keep());
        outbox = new Outbox(random);
        pace = new Pace(settings.appendsPerSecond());
        upkeep = new Upkeep(settings.retention(), fold, outbox, random);
    }

    // ---- events

    List<LedgerAction> claim(
            long id, CallKey key, Fingerprint body, long wallMillis, long deadline, long now) {
        Ask ask = new Ask(id, key, body, wallMillis, deadline);
        if (whole) {
            deadlines.add(ask);
            decide(ask, now);
        } else {
            unavailable(ask, "the ledger is not read whole yet");
        }
        return step(now);
    }

    List<LedgerAction> settle(ClaimId claim, Outcome outcome, Bytes answer, long now) {
        LedgerEntry.Carried call = granted.get(claim);
        if (call == null) {
            return step(now);
        }
        switch (outcome) {
            case DONE, FAILED ->
                    outbox.offer(
                            new LedgerEntry.Settled(
                                    call.call(),
                                    call.body(),
                                    claim,
                                    call.claimedMillis(),
                                    outcome,
                                    answer));
            case NOT_RUN -> outbox.offer(new LedgerEntry.Released(call.call(), claim));
            case UNKNOWN -> outbox.offer(doubtful(call));
        }
        return step(now);
    }

    private static LedgerEntry.Carried doubtful(LedgerEntry.Carried call) {
        Progress.Open open = (Progress.Open) call.progress();
        return new LedgerEntry.Carried(
                call.call(),
                call.body(),
                call.claim(),
                call.claimedMillis(),
                new Progress.Open(open.key(), open.wallMillis(), true));
    }

    List<LedgerAction> appended(long sequence, long now) {
        landed(sequence);
        return step(now);
    }

    List<LedgerAction> refused(long attempt, long now) {
        for (LedgerEntry.Claimed claimed : outbox.refused(attempt, now)) {
            Ask ask = claims.remove(claimed.number());
            if (ask != null) {
                unavailable(ask, "the log takes no records");
            }
        }
        if (outbox.failing(now)) {
            refuseUnsent();
        }
        return step(now);
    }

    List<LedgerAction> doubted(long attempt, long now) {
        outbox.doubted(attempt, now);
        if (outbox.failing(now)) {
            refuseUnsent();
        }
        return step(now);
    }

    /** Notes whether the log can be read; while it cannot, new claims are refused at once. */
    void readable(boolean value) {
        readable = value;
    }

    List<LedgerAction> read(LogPage page, List<Read> records, long now) {
        lost |= page.end() < fold.next();
        if (lost || page.first() > fold.next()) {
            restart(page.first());
        }
        upkeep.retained(page.first(), page.end());
        for (Read read : records) {
            read.batch().ifPresent(batch -> apply(read.offset(), batch, now));
        }
        fold.readTo(page.next());
        if (!whole && !lost && page.next() >= page.end() && fold.complete()) {
            whole = true;
        }
        return step(now);
    }

    List<LedgerAction> tick(long now) {
        return step(now);
    }

    // ---- asks

    private void decide(Ask ask, long now) {
        Optional<CallState> state = fold.state(ask.call);
        if (state.isPresent()) {
            repeat(ask, state.get());
        } else if (!readable || outbox.failing(now)) {
            unavailable(ask, "the log cannot be reached");
        } else {
            ask.claim = ++claimNumber;
            ask.sent = false;
            claims.put(ask.claim, ask);
            outbox.offer(LedgerEntry.Claimed.of(ask.key, ask.body, ask.claim, ask.wallMillis));
        }
    }

    private void repeat(Ask ask, CallState state) {
        if (!state.body().equals(ask.body)) {
            rule(ask, new Ruling.Conflict());
            return;
        }
        switch (state.progress()) {
            case Progress.Ended(Outcome outcome, Bytes answer) ->
                    rule(ask, new Ruling.Recorded(outcome, answer));
            case Progress.Open open when open.doubtful() -> rule(ask, new Ruling.InDoubt());
            case Progress.Open open ->
                    repeats.computeIfAbsent(ask.call, c -> new ArrayList<>()).add(ask);
        }
    }

    private void expire(long now) {
        while (!deadlines.isEmpty() && deadlines.peek().deadline <= now) {
            Ask ask = deadlines.poll();
            if (ask.ruled) {
                continue;
            }
            if (claims.remove(ask.claim) != null) {
                abandon(ask);
            } else {
                forget(ask);
                rule(ask, new Ruling.InDoubt());
            }
        }
    }

    /** Gives up a claim; it must not be sent from now on, whatever the log says later. */
    private void abandon(Ask ask) {
        if (ask.sent) {
            outbox.offer(new LedgerEntry.Released(ask.call, new ClaimId(author, ask.claim)));
        }
        unavailable(ask, "the log gave no answer in time");
    }

    private void forget(Ask ask) {
        List<Ask> waiting = repeats.get(ask.call);
        if (waiting != null) {
            waiting.remove(ask);
            if (waiting.isEmpty()) {
                repeats.remove(ask.call);
            }
        }
    }

    private void refuseUnsent() {
        List<Ask> unsent = claims.values().stream().filter(a -> !a.sent).toList();
        for (Ask ask : unsent) {
            claims.remove(ask.claim);
            unavailable(ask, "the log takes no records");
        }
    }

    private void unavailable(Ask ask, String message) {
        rule(ask, new Ruling.Unavailable(Reason.LOG_UNAVAILABLE, message));
    }

    private void rule(Ask ask, Ruling ruling) {
        if (!ask.ruled) {
            ask.ruled = true;
            actions.add(new LedgerAction.Rule(ask.id, ruling));
        }
    }

    // ---- the log

    private void restart(long offset) {
        whole = false;
        fold.restart(offset);
        List<Ask> waiting = List.copyOf(claims.values());
        claims.clear();
        waiting.forEach(this::abandon);
        List<Ask> unknown = repeats.values().stream().flatMap(List::stream).toList();
        repeats.clear();
        unknown.forEach(ask -> rule(ask, new Ruling.InDoubt()));
    }

    private void apply(long offset, Batch batch, long now) {
        boolean own = batch.author().equals(author);
        if (fold.apply(offset, batch)) {
            if (whole) {
                pace.observe(batch.author(), now);
            }
            rebase(now);
            for (LedgerEntry entry : batch.entries()) {
                if (own && entry instanceof LedgerEntry.Claimed claimed) {
                    ruleOwn(claimed, now);
                } else {
                    answerRepeats(entry.call(), now);
                }
            }
        }
        if (own) {
            landed(batch.sequence());
        }
    }

    private void rebase(long now) {
        if (fold.timeMillis() > ledgerMillis(now)) {
            baseMillis = fold.timeMillis();
            baseNanos = now;
        }
    }

    /** The ledger's time never runs faster than real time, whatever wall clocks say. */
    private long ledgerMillis(long now) {
        return baseMillis + (now - baseNanos) / NANOS_PER_MILLI;
    }

    private void ruleOwn(LedgerEntry.Claimed claimed, long now) {
        Ask ask = claims.remove(claimed.number());
        if (ask == null) {
            return;
        }
        ClaimId claim = new ClaimId(author, claimed.number());
        Optional<CallState> state = fold.state(claimed.call());
        boolean mine = state.map(CallState::claim).filter(claim::equals).isPresent();
        if (!mine) {
            state.ifPresentOrElse(held -> repeat(ask, held), () -> decide(ask, now));
            return;
        }
        if (ask.deadline <= now) {
            ask.sent = true;
            abandon(ask);
            return;
        }
        CallState held = state.get();
        granted.put(
                claim,
                new LedgerEntry.Carried(
                        claimed.call(), held.body(), claim, held.claimedMillis(), held.progress()));
        rule(ask, new Ruling.Granted(ask.key, claim.author(), claim.number(), ask.deadline));
    }

    private void answerRepeats(Fingerprint call, long now) {
        List<Ask> waiting = repeats.remove(call);
        if (waiting == null) {
            return;
        }
        Optional<CallState> state = fold.state(call);
        for (Ask ask : waiting) {
            if (state.isPresent()) {
                repeat(ask, state.get());
            } else {
                decide(ask, now);
            }
        }
    }

    private void landed(long sequence) {
        Optional<Batch> batch = outbox.landed(sequence);
        if (batch.isEmpty()) {
            return;
        }
        upkeep.landed();
        for (LedgerEntry entry : batch.get().entries()) {
            ClaimId claim =
                    switch (entry) {
                        case LedgerEntry.Settled settled -> settled.claim();
                        case LedgerEntry.Released released -> released.claim();
                        case LedgerEntry.Carried carried when carried.progress().doubtful() ->
                                carried.claim();
                        case LedgerEntry.Carried carried -> null;
                        case LedgerEntry.Claimed claimed -> null;
                    };
            if (claim != null && granted.remove(claim) != null) {
                actions.add(new LedgerAction.Stored(claim));
            }
        }
    }

    private List<LedgerAction> step(long now) {
        expire(now);
        if (whole) {
            upkeep.run(ledgerMillis(now), now);
        }
        Outbox.Stamp stamp =
                new Outbox.Stamp(
                        author,
                        ledgerMillis(now),
                        fold.next(),
                        () -> whole ? Optional.of(fold.floor()) : Optional.empty());
        outbox.next(now, pace.gapNanos(now), stamp, e -> fresh(e, now)).ifPresent(this::append);
        List<LedgerAction> done = actions;
        actions = new ArrayList<>();
        return done;
    }

    /** A record tells what was read before it, so nothing in it may be older. */
    private Optional<LedgerEntry> fresh(LedgerEntry entry, long now) {
        return switch (entry) {
            case LedgerEntry.Claimed claimed -> fresh(claimed, now);
            case LedgerEntry.Carried carried -> fold.fresh(carried);
            case LedgerEntry.Settled settled -> Optional.of(settled);
            case LedgerEntry.Released released -> Optional.of(released);
        };
    }

    private Optional<LedgerEntry> fresh(LedgerEntry.Claimed claimed, long now) {
        Ask ask = claims.get(claimed.number());
        if (ask == null) {
            return Optional.empty();
        }
        if (fold.state(claimed.call()).isPresent()) {
            claims.remove(claimed.number());
            decide(ask, now);
            return Optional.empty();
        }
        return Optional.of(claimed);
    }

    private void append(Batch batch) {
        for (LedgerEntry entry : batch.entries()) {
            if (entry instanceof LedgerEntry.Claimed claimed) {
                Ask ask = claims.get(claimed.number());
                if (ask != null) {
                    ask.sent = true;
                }
            }
        }
        actions.add(new LedgerAction.Append(batch, outbox.attempt()));
    }

    // ---- what others ask

    /** Returns when something is due, if it is. */
    Optional<Long> dueNanos(long now) {
        long due = Long.MAX_VALUE;
        if (!deadlines.isEmpty()) {
            due = deadlines.peek().deadline;
        }
        due = Math.min(due, outbox.dueNanos(now, pace.gapNanos(now)).orElse(Long.MAX_VALUE));
        if (whole) {
            due = Math.min(due, upkeep.dueNanos(ledgerMillis(now), now));
        }
        return due == Long.MAX_VALUE ? Optional.empty() : Optional.of(due);
    }

    boolean whole() {
        return whole;
    }

    boolean idle() {
        return outbox.idle();
    }

    int size() {
        return fold.size();
    }

    List<InDoubtCall> inDoubt(Duration minAge, long now) {
        long limit = ledgerMillis(now) - minAge.toMillis();
        List<InDoubtCall> found = new ArrayList<>();
        for (CallState state : fold.open().values()) {
            if (state.claimedMillis() <= limit
                    && state.progress() instanceof Progress.Open(var key, var wall, var doubtful)) {
                Duration age = Duration.ofMillis(ledgerMillis(now) - state.claimedMillis());
                found.add(
                        new InDoubtCall(
                                key,
                                state.claim().author(),
                                state.claim().number(),
                                wall,
                                age,
                                doubtful));
            }
        }
        return found;
    }
}
