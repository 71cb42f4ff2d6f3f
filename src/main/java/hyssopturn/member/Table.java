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

/** The greatest fact known of each subject and kind, in the order in which they changed here. */
final class Table {
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

    /** A fact, where it stands in the order of changes and who told it. */
    record Slot(Entry entry, long position, Optional<InstanceId> source, long learnedNanos) {}

    Table() {
        for (int i = 0; i < Priority.values().length; i++) {
            changes.add(new TreeMap<>());
        }
    }

    /** Merges a fact; true if it is new. */
    boolean merge(Entry entry, Optional<InstanceId> source, long now) {
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
        account(entry, 1);
        return true;
    }

    /** Drops all that is known of a subject. */
    void forget(InstanceId subject) {
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
        account(slot.entry(), -1);
    }

    private void account(Entry entry, int sign) {
        encodedBytes += (long) sign * entry.encoded().size();
        if (summarised(entry.fact().kind())) {
            buckets[bucket(entry.fact().subject())] ^= hash(entry);
        }
    }

    private static boolean summarised(Kind kind) {
        return kind.priority() != Priority.LAZY;
    }

    private static int bucket(InstanceId subject) {
        int hash = subject.value().hashCode() * MIX;
        return Math.floorMod(hash ^ (hash >>> HALF_BITS), BUCKETS);
    }

    private static int hash(Entry entry) {
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

    /** Changes of a priority after a position, oldest first. */
    NavigableMap<Long, Slot> changesAfter(Priority priority, long after) {
        return changes.get(priority.number()).tailMap(after, false);
    }

    List<Integer> summary() {
        List<Integer> result = new ArrayList<>(BUCKETS);
        for (int bucket : buckets) {
            result.add(bucket);
        }
        return result;
    }

    /** Facts in buckets whose hash differs from another node's. */
    List<Entry> differing(List<Integer> theirs) {
        List<Entry> result = new ArrayList<>();
        if (theirs.size() != BUCKETS || theirs.equals(summary())) {
            return result;
        }
        for (Map.Entry<InstanceId, Slot[]> subject : subjects.entrySet()) {
            int bucket = bucket(subject.getKey());
            if (theirs.get(bucket) != buckets[bucket]) {
                addSummarised(subject.getValue(), result);
            }
        }
        result.sort(Comparator.comparing(e -> e.fact().kind()));
        return result;
    }

    private static void addSummarised(Slot[] slots, List<Entry> result) {
        for (Slot slot : slots) {
            if (slot != null && summarised(slot.entry().fact().kind())) {
                result.add(slot.entry());
            }
        }
    }

    /** Size of all facts in wire form, in bytes. */
    long encodedBytes() {
        return encodedBytes;
    }
}
