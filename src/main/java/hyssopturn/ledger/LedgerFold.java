package hyssopturn.ledger;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * What the records of the ledger's stream add up to; the same at every node that has read it whole.
 *
 * <p>Time is the ledger's own: each record carries the elapsed time that its author knew, so that
 * keys expire by the order of the log and no wall clock matters.
 */
final class LedgerFold {
    /** Carried entries of records this much older than the ledger's time are void. */
    static final Duration CARRY_LIMIT = Duration.ofMinutes(5);

    private static final long CARRY_LIMIT_MILLIS = CARRY_LIMIT.toMillis();
    private static final long RELEASE_KEEP_MILLIS = 2 * CARRY_LIMIT_MILLIS;

    private final long keepMillis;
    // least recently written first, so that the head shows what a truncation would take first
    private final LinkedHashMap<Fingerprint, CallState> calls = new LinkedHashMap<>();
    private final Map<Fingerprint, CallState> open = new LinkedHashMap<>();
    private final LinkedHashMap<ClaimId, Long> released = new LinkedHashMap<>();
    private final Map<String, Written> authors = new HashMap<>();
    private long timeMillis;
    private long next = 1;
    private final Newcomer newcomer = new Newcomer();
    // valid records from the head on, without those before one with a lower readTo
    private final Deque<Read> window = new ArrayDeque<>();
    private long bestFloor;

    private record Read(long offset, long readTo) {}

    private record Written(long sequence, long timeMillis) {}

    LedgerFold(Duration keep) {
        keepMillis = keep.toMillis();
    }

    /** Forgets all calls and goes on from an offset, because the records before it are lost. */
    void restart(long offset) {
        calls.clear();
        open.clear();
        released.clear();
        authors.clear();
        window.clear();
        bestFloor = 0;
        newcomer.start(offset);
        next = offset;
    }

    /** Applies a record; false if it is void. */
    boolean apply(long offset, Batch batch) {
        next = offset + 1;
        if (newcomer.cannotJudge(offset, batch)) {
            return false;
        }
        Written before = authors.get(batch.author());
        if (before != null && batch.sequence() <= before.sequence()) {
            return false;
        }
        timeMillis = Math.max(timeMillis, batch.timeMillis());
        authors.put(batch.author(), new Written(batch.sequence(), timeMillis));
        observe(offset, batch);
        boolean late = batch.timeMillis() + CARRY_LIMIT_MILLIS < timeMillis;
        for (LedgerEntry entry : batch.entries()) {
            switch (entry) {
                case LedgerEntry.Claimed claimed -> claim(claimed, batch.author(), offset);
                case LedgerEntry.Settled settled -> settle(settled, offset);
                case LedgerEntry.Released given -> release(given);
                case LedgerEntry.Carried carried -> {
                    if (!late) {
                        carry(carried, offset, batch.readTo());
                    }
                }
            }
        }
        evict();
        return true;
    }

    private void observe(long offset, Batch batch) {
        while (!window.isEmpty() && window.peekLast().readTo() >= batch.readTo()) {
            window.pollLast();
        }
        window.addLast(new Read(offset, batch.readTo()));
        batch.floor().ifPresent(floor -> learn(batch, floor));
    }

    private void learn(Batch batch, Batch.Floor floor) {
        bestFloor = Math.max(bestFloor, floor.floor());
        if (!newcomer.mayAdopt(batch, floor) || newcomer.misjudged(writtenFrom(floor.head()))) {
            return;
        }
        List<Fingerprint> dead =
                calls.entrySet().stream()
                        .filter(e -> e.getValue().writtenAt() < floor.head())
                        .map(Map.Entry::getKey)
                        .toList();
        dead.forEach(this::remove);
        floor.authors().forEach(this::raise);
        newcomer.finish();
    }

    private Set<Fingerprint> writtenFrom(long offset) {
        return open.entrySet().stream()
                .filter(e -> e.getValue().writtenAt() >= offset)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private void raise(String author, long sequence) {
        authors.merge(
                author,
                new Written(sequence, timeMillis),
                (a, b) -> a.sequence() >= b.sequence() ? a : b);
    }

    /** Notes how far the stream was read, records that are no batch included. */
    void readTo(long offset) {
        next = Math.max(next, offset);
    }

    private void claim(LedgerEntry.Claimed entry, String author, long offset) {
        ClaimId claim = new ClaimId(author, entry.number());
        if (state(entry.call()).isPresent() || released.containsKey(claim)) {
            return;
        }
        Progress progress = new Progress.Open(entry.key(), entry.wallMillis(), false);
        write(entry.call(), entry.body(), claim, timeMillis, progress, offset);
    }

    private void settle(LedgerEntry.Settled entry, long offset) {
        Optional<CallState> held = state(entry.call());
        boolean other = held.isPresent() && !held.get().claim().equals(entry.claim());
        if (other && complete()) {
            return;
        }
        if (!other && held.map(CallState::progress).filter(Progress::ended).isPresent()) {
            return;
        }
        newcomer.settled(entry.call());
        Progress progress = new Progress.Ended(entry.outcome(), entry.answer());
        write(entry.call(), entry.body(), entry.claim(), entry.claimedMillis(), progress, offset);
    }

    private void release(LedgerEntry.Released entry) {
        released.put(entry.claim(), timeMillis);
        state(entry.call())
                .filter(held -> held.claim().equals(entry.claim()) && !held.progress().ended())
                .ifPresent(held -> remove(entry.call()));
    }

    private void carry(LedgerEntry.Carried entry, long offset, long readTo) {
        if (released.containsKey(entry.claim())) {
            return;
        }
        Optional<CallState> held = state(entry.call());
        boolean other = held.isPresent() && !held.get().claim().equals(entry.claim());
        if (other && complete()) {
            return;
        }
        if (!other && held.isPresent() && !entry.progress().covers(held.get().progress())) {
            return;
        }
        newcomer.told(entry.call(), readTo);
        Progress progress =
                held.filter(state -> !other)
                        .map(CallState::progress)
                        .filter(Progress::ended)
                        .orElse(entry.progress());
        write(entry.call(), entry.body(), entry.claim(), entry.claimedMillis(), progress, offset);
    }

    private void write(
            Fingerprint call,
            Fingerprint body,
            ClaimId claim,
            long claimedMillis,
            Progress progress,
            long offset) {
        CallState state = new CallState(body, claim, claimedMillis, progress, offset, timeMillis);
        calls.putLast(call, state);
        if (progress.ended()) {
            open.remove(call);
        } else {
            open.put(call, state);
        }
    }

    private void remove(Fingerprint call) {
        calls.remove(call);
        open.remove(call);
    }

    private void evict() {
        while (!calls.isEmpty() && expired(calls.firstEntry().getValue())) {
            calls.pollFirstEntry();
        }
        while (!released.isEmpty()
                && released.firstEntry().getValue() + RELEASE_KEEP_MILLIS < timeMillis) {
            released.pollFirstEntry();
        }
    }

    /** Forgets authors that have written nothing for the keep time. */
    void forgetAuthors() {
        authors.values().removeIf(written -> written.timeMillis() + keepMillis < timeMillis);
    }

    private boolean expired(CallState state) {
        return state.progress().ended() && timeMillis - state.claimedMillis() >= keepMillis;
    }

    Optional<CallState> state(Fingerprint call) {
        return Optional.ofNullable(calls.get(call)).filter(held -> !expired(held));
    }

    /** Returns the calls that were written longest ago, to be written anew. */
    List<LedgerEntry> oldest(int max, long beforeMillis, long beforeOffset) {
        List<LedgerEntry> found = new ArrayList<>();
        for (Map.Entry<Fingerprint, CallState> entry : calls.entrySet()) {
            CallState state = entry.getValue();
            if (found.size() == max || !old(state, beforeMillis, beforeOffset)) {
                break;
            }
            if (!expired(state)) {
                found.add(
                        new LedgerEntry.Carried(
                                entry.getKey(),
                                state.body(),
                                state.claim(),
                                state.claimedMillis(),
                                state.progress()));
            }
        }
        return found;
    }

    /** Makes a carried entry say what is known now; empty if its claim holds no more. */
    Optional<LedgerEntry> fresh(LedgerEntry.Carried entry) {
        return state(entry.call())
                .filter(held -> held.claim().equals(entry.claim()))
                .map(
                        held ->
                                new LedgerEntry.Carried(
                                        entry.call(),
                                        held.body(),
                                        held.claim(),
                                        held.claimedMillis(),
                                        entry.progress().covers(held.progress())
                                                ? entry.progress()
                                                : held.progress()));
    }

    boolean anyOlder(long beforeMillis, long beforeOffset) {
        return !calls.isEmpty() && old(calls.firstEntry().getValue(), beforeMillis, beforeOffset);
    }

    private static boolean old(CallState state, long beforeMillis, long beforeOffset) {
        return state.writtenMillis() <= beforeMillis || state.writtenAt() < beforeOffset;
    }

    /** Returns the elapsed time at which the oldest record of a live call was written. */
    Optional<Long> oldestMillis() {
        return calls.isEmpty()
                ? Optional.empty()
                : Optional.of(calls.firstEntry().getValue().writtenMillis());
    }

    /** Tells whether every live call was read. */
    boolean complete() {
        return newcomer.done();
    }

    /** Returns the offset before which no live call was written. */
    private long head() {
        return calls.isEmpty() ? next : calls.firstEntry().getValue().writtenAt();
    }

    /** Returns what newcomers must know. */
    Batch.Floor floor() {
        Map<String, Long> sequences = new HashMap<>();
        authors.forEach((author, written) -> sequences.put(author, written.sequence()));
        return new Batch.Floor(head(), floorOffset(), sequences);
    }

    /** Returns the offset at or before which a newcomer must begin to read. */
    long floorOffset() {
        long head = head();
        while (!window.isEmpty() && window.peekFirst().offset() < head) {
            window.pollFirst();
        }
        return window.isEmpty() ? head : Math.min(head, window.peekFirst().readTo());
    }

    /** Returns the offset up to which calls must be written anew to raise the floor. */
    long floorHolder() {
        floorOffset();
        return window.isEmpty() ? next : window.peekFirst().offset() + 1;
    }

    long bestFloor() {
        return bestFloor;
    }

    long next() {
        return next;
    }

    long timeMillis() {
        return timeMillis;
    }

    int size() {
        return calls.size();
    }

    Map<Fingerprint, CallState> open() {
        return open;
    }
}
