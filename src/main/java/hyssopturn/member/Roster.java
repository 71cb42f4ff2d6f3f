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
 * Which instances exist, by incarnation, and what became of them.
 *
 * <p>The list says who exists; facts of other nodes and evidence of requests say who takes part.
 * Leaving is final for an incarnation. Whoever is off the list for long is forgotten.
 */
final class Roster {
    static final Duration LIST_LAG = Duration.ofSeconds(10);
    static final Duration ABSENCE = Duration.ofSeconds(10);
    private static final int ABSENT_READS = 2;

    private final Instance self;
    private final MessageCodec codec;
    private final Table table = new Table();
    private final Tombstones tombstones = new Tombstones();
    private final Map<InstanceId, Sighting> sightings = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private List<Instance> sorted = List.of();
    private long sortedGeneration = -1;
    private long generation;
    private long holdings;

    /** A change of state, for the log and the time line. */
    record Change(InstanceId instance, String state) {}

    /** How this node's own readings of the list saw an instance. */
    private static final class Sighting {
        private boolean listed;
        private long absentSince;
        private int absentReads;
    }

    Roster(Instance self, MessageCodec codec, long now) {
        this.self = self;
        this.codec = codec;
        learn(new Listing(self), now);
    }

    Table table() {
        return table;
    }

    /** Merges a fact of this node. */
    boolean learn(Fact fact, long now) {
        return learn(codec.entry(fact), Optional.empty(), now);
    }

    /** Merges a fact; true if it is new. */
    boolean learn(Entry entry, Optional<InstanceId> source, long now) {
        Fact fact = entry.fact();
        Optional<Tombstone> gone = tombstones.find(fact.subject());
        if (gone.isPresent() && fact.incarnation() <= gone.get().incarnation()) {
            return false;
        }
        if (!table.merge(entry, source, now)) {
            return false;
        }
        noteChange(fact);
        if (fact instanceof Liveness liveness) {
            refute(liveness, now);
        }
        return true;
    }

    private void noteChange(Fact fact) {
        switch (fact) {
            case Leaving f -> changed(f.subject(), "leaving");
            case Liveness f ->
                    changed(f.subject(), f.health().name().toLowerCase(java.util.Locale.ROOT));
            case Listing f -> changed(f.subject(), "listed");
            case Fact.Report f -> holdings++;
            case Fact.Load f -> {}
            case ConfigInForce f -> {}
        }
    }

    private void changed(InstanceId id, String state) {
        generation++;
        changes.add(new Change(id, state));
    }

    private void refute(Liveness liveness, long now) {
        boolean mine =
                liveness.subject().equals(self.id())
                        && liveness.incarnation() == self.incarnation();
        if (mine && liveness.health() != Health.ALIVE) {
            alive(liveness, now);
        }
    }

    private void alive(Liveness before, long now) {
        learn(
                new Liveness(
                        before.subject(), before.incarnation(), before.counter() + 1, Health.ALIVE),
                now);
    }

    /** Merges a reading of the list. */
    void listed(List<Instance> all, long now) {
        Set<InstanceId> present = new HashSet<>();
        for (Instance instance : all) {
            if (seen(instance, now)) {
                present.add(instance.id());
            }
        }
        for (InstanceId id : List.copyOf(table.subjects())) {
            if (!present.contains(id) && !id.equals(self.id())) {
                absent(id, now);
            }
        }
        sightings.keySet().retainAll(table.subjects());
    }

    private boolean seen(Instance instance, long now) {
        InstanceId id = instance.id();
        Optional<Tombstone> gone = tombstones.find(id);
        if (gone.isPresent() && gone.get().incarnation() > instance.incarnation()) {
            return false;
        }
        if (gone.isPresent() && gone.get().incarnation() == instance.incarnation()) {
            readmit(id, gone.get(), now);
        }
        learn(new Listing(listing(instance)), now);
        if (instance.leaving()) {
            learn(new Leaving(id, instance.incarnation()), now);
        }
        Sighting sighting = sightings.computeIfAbsent(id, i -> new Sighting());
        sighting.listed = true;
        sighting.absentReads = 0;
        revive(instance, now);
        return true;
    }

    private void readmit(InstanceId id, Tombstone gone, long now) {
        tombstones.remove(id);
        if (gone.left()) {
            learn(new Leaving(id, gone.incarnation()), now);
        }
    }

    private static Instance listing(Instance i) {
        return i.leaving()
                ? new Instance(i.id(), i.incarnation(), i.role(), i.address(), i.zone(), false)
                : i;
    }

    private void revive(Instance instance, long now) {
        if (instance.role() instanceof Instance.Role.Node) {
            return;
        }
        table.slot(instance.id(), Kind.LIVENESS)
                .filter(s -> now - s.learnedNanos() >= LIST_LAG.toNanos())
                .map(s -> (Liveness) s.entry().fact())
                .filter(l -> l.incarnation() == instance.incarnation())
                .filter(l -> l.health() != Health.ALIVE)
                .ifPresent(l -> alive(l, now));
    }

    private void absent(InstanceId id, long now) {
        Sighting sighting = sightings.computeIfAbsent(id, i -> new Sighting());
        if (sighting.absentReads == 0) {
            sighting.absentSince = now;
        }
        sighting.absentReads++;
        long learned = table.slot(id, Kind.LISTING).map(Table.Slot::learnedNanos).orElse(now);
        boolean lagging = !sighting.listed && now - learned < LIST_LAG.toNanos();
        if (!lagging && !isNode(id)) {
            unlisted(id, now);
        }
        boolean lasting = now - sighting.absentSince >= ABSENCE.toNanos();
        if (!lagging && lasting && sighting.absentReads >= ABSENT_READS) {
            forget(id, now);
        }
    }

    private void unlisted(InstanceId id, long now) {
        health(id, Health.DEAD, now);
    }

    private void forget(InstanceId id, long now) {
        long incarnation = incarnation(id);
        tombstones.add(id, incarnation, hasLeft(id, incarnation), now);
        table.forget(id);
        changed(id, "gone");
    }

    /** Worsens the health of the current incarnation; a better state changes nothing. */
    void health(InstanceId id, Health health, long now) {
        listing(id)
                .ifPresent(
                        i -> {
                            long counter = liveness(i).map(Liveness::counter).orElse(0L);
                            learn(new Liveness(id, i.incarnation(), counter, health), now);
                        });
    }

    /** Notes that an instance takes no new work; false if that is not news. */
    boolean leave(InstanceId id, long incarnation, long now) {
        boolean current = listing(id).filter(i -> i.incarnation() == incarnation).isPresent();
        return current && learn(new Leaving(id, incarnation), now);
    }

    boolean knows(InstanceId id) {
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

    boolean hasLeft(InstanceId id, long incarnation) {
        return table.fact(id, Kind.LEAVING, Leaving.class)
                .filter(l -> l.incarnation() >= incarnation)
                .isPresent();
    }

    private boolean isNode(InstanceId id) {
        return listing(id).filter(i -> i.role() instanceof Instance.Role.Node).isPresent();
    }

    /** Tells whether another node has use for a fact. */
    boolean wants(InstanceId to, Fact fact) {
        if (fact.kind() != Kind.LOAD) {
            return true;
        }
        Optional<Instance> reader = listing(to);
        Optional<Instance> engine = listing(fact.subject());
        return reader.isEmpty()
                || engine.isEmpty()
                || reader.get().zone().region().equals(engine.get().zone().region());
    }

    /** All instances that exist, in order of name. */
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

    /** Other nodes that may be asked for something. */
    List<Instance> peers() {
        return instances().stream()
                .filter(i -> i.role() instanceof Instance.Role.Node)
                .filter(i -> !i.id().equals(self.id()))
                .toList();
    }

    /** Number that grows with each change of who exists or takes part. */
    long generation() {
        return generation;
    }

    /** Number that grows with each change of what engines hold. */
    long holdings() {
        return holdings;
    }

    /** Hands out the changes since the last call. */
    List<Change> drainChanges() {
        List<Change> result = List.copyOf(changes);
        changes.clear();
        return result;
    }

    int tombstones() {
        return tombstones.size();
    }
}
