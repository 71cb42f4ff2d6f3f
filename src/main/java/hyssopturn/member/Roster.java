package hyssopturn.member;

import hyssopturn.member.Fact.ConfigInForce;
import hyssopturn.member.Fact.Health;
import hyssopturn.member.Fact.Kind;
import hyssopturn.member.Fact.Leaving;
import hyssopturn.member.Fact.Listing;
import hyssopturn.member.Fact.Liveness;
import hyssopturn.member.Tombstones.Tombstone;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The known instances with their incarnations and states.
 *
 * <p>The instance list determines which instances exist; facts of other nodes and observations of
 * this node (requests, probes) determine which are alive. Leaving is final for an incarnation. An
 * instance that is absent from the list for {@link #MIN_ABSENCE} and for several reads is removed.
 */
final class Roster {
    /** Time for which the list may lag behind facts of other nodes. */
    static final Duration LIST_LAG = Duration.ofSeconds(10);

    /** Time for which an instance must be absent from the list before it is removed. */
    static final Duration MIN_ABSENCE = Duration.ofSeconds(10);

    private static final int MIN_ABSENT_READS = 2;

    private final Instance self;
    private final MessageCodec codec;
    private final FactTable table = new FactTable();
    private final Tombstones tombstones = new Tombstones();
    private final Map<InstanceId, ListPresence> presences = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private List<Instance> sorted = List.of();
    private long sortedGeneration = -1;
    private long generation;
    private long reportGeneration;

    /** A change of state, for the log and the event buffer. */
    record Change(InstanceId instance, String state) {}

    /** Presence of an instance in this node's own reads of the list. */
    private static final class ListPresence {
        private boolean listed;
        private long absentSinceNanos;
        private int absentReads;
    }

    Roster(Instance self, MessageCodec codec, long now) {
        this.self = self;
        this.codec = codec;
        merge(new Listing(self), now);
    }

    FactTable table() {
        return table;
    }

    /** Merges a fact that this node originates; returns true if it changed the table. */
    boolean merge(Fact fact, long now) {
        return merge(codec.toEntry(fact), Optional.empty(), now);
    }

    /** Merges a fact; returns true if it changed the table. */
    boolean merge(FactEntry entry, Optional<InstanceId> source, long now) {
        Fact fact = entry.fact();
        Optional<Tombstone> tombstone = tombstones.find(fact.subject());
        if (tombstone.isPresent() && fact.incarnation() <= tombstone.get().incarnation()) {
            return false;
        }
        if (!table.merge(entry, source, now)) {
            return false;
        }
        recordChange(fact);
        if (fact instanceof Liveness liveness) {
            refute(liveness, now);
        }
        return true;
    }

    private void recordChange(Fact fact) {
        switch (fact) {
            case Leaving f -> addChange(f.subject(), "leaving");
            case Liveness f ->
                    addChange(f.subject(), f.health().name().toLowerCase(java.util.Locale.ROOT));
            case Listing f -> addChange(f.subject(), "listed");
            case Fact.Report f -> reportGeneration++;
            case Fact.Load f -> {}
            case ConfigInForce f -> {}
        }
    }

    private void addChange(InstanceId id, String state) {
        generation++;
        changes.add(new Change(id, state));
    }

    private void refute(Liveness liveness, long now) {
        boolean own =
                liveness.subject().equals(self.id())
                        && liveness.incarnation() == self.incarnation();
        if (own && liveness.health() != Health.ALIVE) {
            markAlive(liveness, now);
        }
    }

    private void markAlive(Liveness before, long now) {
        merge(
                new Liveness(
                        before.subject(), before.incarnation(), before.counter() + 1, Health.ALIVE),
                now);
    }

    /** Merges the result of a read of the list. */
    void mergeList(List<Instance> all, long now) {
        Set<InstanceId> present = new HashSet<>();
        for (Instance instance : all) {
            if (mergeListed(instance, now)) {
                present.add(instance.id());
            }
        }
        for (InstanceId id : List.copyOf(table.subjects())) {
            if (!present.contains(id) && !id.equals(self.id())) {
                recordAbsence(id, now);
            }
        }
        presences.keySet().retainAll(table.subjects());
    }

    private boolean mergeListed(Instance instance, long now) {
        InstanceId id = instance.id();
        Optional<Tombstone> tombstone = tombstones.find(id);
        if (tombstone.isPresent() && tombstone.get().incarnation() > instance.incarnation()) {
            return false;
        }
        if (tombstone.isPresent() && tombstone.get().incarnation() == instance.incarnation()) {
            removeTombstone(id, tombstone.get(), now);
        }
        merge(new Listing(withoutLeavingMark(instance)), now);
        if (instance.leaving()) {
            merge(new Leaving(id, instance.incarnation()), now);
        }
        ListPresence presence = presences.computeIfAbsent(id, i -> new ListPresence());
        presence.listed = true;
        presence.absentReads = 0;
        restoreAlive(instance, now);
        return true;
    }

    private void removeTombstone(InstanceId id, Tombstone tombstone, long now) {
        tombstones.remove(id);
        if (tombstone.leaving()) {
            merge(new Leaving(id, tombstone.incarnation()), now);
        }
    }

    private static Instance withoutLeavingMark(Instance i) {
        return i.leaving()
                ? new Instance(i.id(), i.incarnation(), i.role(), i.address(), i.zone(), false)
                : i;
    }

    private void restoreAlive(Instance instance, long now) {
        if (instance.role() instanceof Instance.Role.Node) {
            return;
        }
        table.slot(instance.id(), Kind.LIVENESS)
                .filter(s -> now - s.learnedNanos() >= LIST_LAG.toNanos())
                .map(s -> (Liveness) s.entry().fact())
                .filter(l -> l.incarnation() == instance.incarnation())
                .filter(l -> l.health() != Health.ALIVE)
                .ifPresent(l -> markAlive(l, now));
    }

    private void recordAbsence(InstanceId id, long now) {
        ListPresence presence = presences.computeIfAbsent(id, i -> new ListPresence());
        if (presence.absentReads == 0) {
            presence.absentSinceNanos = now;
        }
        presence.absentReads++;
        long learned = table.slot(id, Kind.LISTING).map(FactTable.Slot::learnedNanos).orElse(now);
        boolean lagging = !presence.listed && now - learned < LIST_LAG.toNanos();
        if (!lagging && !isNode(id)) {
            markDead(id, now);
        }
        boolean absentLong = now - presence.absentSinceNanos >= MIN_ABSENCE.toNanos();
        if (!lagging && absentLong && presence.absentReads >= MIN_ABSENT_READS) {
            remove(id, now);
        }
    }

    private void markDead(InstanceId id, long now) {
        health(id, Health.DEAD, now);
    }

    private void remove(InstanceId id, long now) {
        long incarnation = incarnation(id);
        tombstones.add(id, incarnation, isLeaving(id, incarnation), now);
        table.remove(id);
        addChange(id, "gone");
    }

    /** Sets the health of the current incarnation to a worse state; ignores a better one. */
    void health(InstanceId id, Health health, long now) {
        listing(id)
                .ifPresent(
                        i -> {
                            long counter = liveness(i).map(Liveness::counter).orElse(0L);
                            merge(new Liveness(id, i.incarnation(), counter, health), now);
                        });
    }

    /** Records that an instance accepts no new work; returns false if nothing changed. */
    boolean markLeaving(InstanceId id, long incarnation, long now) {
        boolean current = listing(id).filter(i -> i.incarnation() == incarnation).isPresent();
        return current && merge(new Leaving(id, incarnation), now);
    }

    boolean contains(InstanceId id) {
        return listing(id).isPresent();
    }

    Optional<Instance> listing(InstanceId id) {
        return table.fact(id, Kind.LISTING, Listing.class).map(Listing::instance);
    }

    long incarnation(InstanceId id) {
        return listing(id).map(Instance::incarnation).orElse(0L);
    }

    Optional<Liveness> liveness(Instance instance) {
        return table.fact(instance.id(), Kind.LIVENESS, Liveness.class)
                .filter(l -> l.incarnation() == instance.incarnation());
    }

    Health health(Instance instance) {
        return liveness(instance).map(Liveness::health).orElse(Health.ALIVE);
    }

    boolean isLeaving(InstanceId id, long incarnation) {
        return table.fact(id, Kind.LEAVING, Leaving.class)
                .filter(l -> l.incarnation() >= incarnation)
                .isPresent();
    }

    private boolean isNode(InstanceId id) {
        return listing(id).filter(i -> i.role() instanceof Instance.Role.Node).isPresent();
    }

    /** Returns whether a fact is sent to another node: load only within the engine's region. */
    boolean isRelevantTo(InstanceId to, Fact fact) {
        if (fact.kind() != Kind.LOAD) {
            return true;
        }
        Optional<Instance> receiver = listing(to);
        Optional<Instance> engine = listing(fact.subject());
        return receiver.isEmpty()
                || engine.isEmpty()
                || receiver.get().zone().region().equals(engine.get().zone().region());
    }

    /** Returns all known instances, ordered by name. */
    List<Instance> instances() {
        if (sortedGeneration != generation) {
            sorted = sort();
            sortedGeneration = generation;
        }
        return sorted;
    }

    private List<Instance> sort() {
        return table.subjects().stream()
                .map(this::listing)
                .flatMap(Optional::stream)
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .toList();
    }

    /** Returns all known nodes but this one. */
    List<Instance> peers() {
        return instances().stream()
                .filter(i -> i.role() instanceof Instance.Role.Node)
                .filter(i -> !i.id().equals(self.id()))
                .toList();
    }

    /** Returns a number that increases with each change of the instances or their states. */
    long generation() {
        return generation;
    }

    /** Returns a number that increases with each change of a report of an engine. */
    long reportGeneration() {
        return reportGeneration;
    }

    /** Returns the changes since the last call. */
    List<Change> drainChanges() {
        List<Change> result = List.copyOf(changes);
        changes.clear();
        return result;
    }

    int tombstones() {
        return tombstones.size();
    }
}
