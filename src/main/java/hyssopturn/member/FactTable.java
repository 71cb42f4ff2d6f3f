package hyssopturn.member;

import hyssopturn.member.Fact.Kind;
import hyssopturn.member.Fact.Priority;
import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/** The greatest known fact of each subject and kind, ordered by when it changed on this node. */
final class FactTable {
    static final int BUCKETS = 128;
    static final int MAX_SUBJECTS = 16_384;

    private static final int KINDS = Kind.values().length;
    private static final int MIX = 0x9e3779b9;
    private static final int HALF_BITS = 16;

    private final Map<InstanceId, Slot[]> subjects = new HashMap<>();
    private final List<TreeMap<Long, Slot>> changes = new ArrayList<>();
    private final int[] buckets = new int[BUCKETS];
    private long position;
    private long encodedBytes;

    /**
     * A fact, its position in the order of changes, and the node it came from (empty: this one).
     */
    record Slot(FactEntry entry, long position, Optional<InstanceId> source, long learnedNanos) {}

    FactTable() {
        for (int i = 0; i < Priority.values().length; i++) {
            changes.add(new TreeMap<>());
        }
    }

    /** Merges a fact; returns true if it changed the table. */
    boolean merge(FactEntry entry, Optional<InstanceId> source, long now) {
        Fact fact = entry.fact();
        Slot[] slots = subjects.get(fact.subject());
        if (slots == null) {
            if (subjects.size() >= MAX_SUBJECTS) {
                return false;
            }
            slots = new Slot[KINDS];
            subjects.put(fact.subject(), slots);
        }
        int kind = fact.kind().index();
        Slot before = slots[kind];
        if (before != null && !fact.replaces(before.entry().fact())) {
            return false;
        }
        if (before != null) {
            unlink(before);
        }
        position++;
        Slot slot = new Slot(entry, position, source, now);
        slots[kind] = slot;
        changes.get(fact.kind().priority().number()).put(position, slot);
        updateTotals(entry, 1);
        return true;
    }

    /** Removes all facts about a subject. */
    void remove(InstanceId subject) {
        Slot[] slots = subjects.remove(subject);
        if (slots == null) {
            return;
        }
        for (Slot slot : slots) {
            if (slot != null) {
                unlink(slot);
            }
        }
    }

    private void unlink(Slot slot) {
        Priority priority = slot.entry().fact().kind().priority();
        changes.get(priority.number()).remove(slot.position());
        updateTotals(slot.entry(), -1);
    }

    private void updateTotals(FactEntry entry, int sign) {
        encodedBytes += (long) sign * entry.encoded().size();
        if (isSummarised(entry.fact().kind())) {
            buckets[bucket(entry.fact().subject())] ^= hash(entry);
        }
    }

    private static boolean isSummarised(Kind kind) {
        return kind.priority() != Priority.LAZY;
    }

    private static int bucket(InstanceId subject) {
        int hash = subject.value().hashCode() * MIX;
        return Math.floorMod(hash ^ (hash >>> HALF_BITS), BUCKETS);
    }

    private static int hash(FactEntry entry) {
        int hash = (entry.encoded().hashCode() + entry.fact().kind().index()) * MIX;
        return (hash ^ (hash >>> HALF_BITS)) * MIX;
    }

    Optional<Slot> slot(InstanceId subject, Kind kind) {
        Slot[] slots = subjects.get(subject);
        return slots == null ? Optional.empty() : Optional.ofNullable(slots[kind.index()]);
    }

    <T extends Fact> Optional<T> fact(InstanceId subject, Kind kind, Class<T> type) {
        return slot(subject, kind).map(s -> type.cast(s.entry().fact()));
    }

    Collection<InstanceId> subjects() {
        return subjects.keySet();
    }

    long position() {
        return position;
    }

    /** Returns changes of a priority after a position, oldest first. */
    NavigableMap<Long, Slot> changesAfter(Priority priority, long after) {
        return changes.get(priority.number()).tailMap(after, false);
    }

    /** Returns the hash of each bucket of facts. */
    List<Integer> summary() {
        List<Integer> result = new ArrayList<>(BUCKETS);
        for (int bucket : buckets) {
            result.add(bucket);
        }
        return result;
    }

    /** Returns the facts in buckets whose hash differs from another node's. */
    List<FactEntry> differing(List<Integer> remote) {
        List<FactEntry> result = new ArrayList<>();
        if (remote.size() != BUCKETS || remote.equals(summary())) {
            return result;
        }
        for (Map.Entry<InstanceId, Slot[]> subject : subjects.entrySet()) {
            int bucket = bucket(subject.getKey());
            if (remote.get(bucket) != buckets[bucket]) {
                addSummarised(subject.getValue(), result);
            }
        }
        result.sort(Comparator.comparing(e -> e.fact().kind()));
        return result;
    }

    private static void addSummarised(Slot[] slots, List<FactEntry> result) {
        for (Slot slot : slots) {
            if (slot != null && isSummarised(slot.entry().fact().kind())) {
                result.add(slot.entry());
            }
        }
    }

    /** Returns the total encoded size of all facts, in bytes. */
    long encodedBytes() {
        return encodedBytes;
    }
}
