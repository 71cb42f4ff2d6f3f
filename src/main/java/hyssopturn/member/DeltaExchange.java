package hyssopturn.member;

import hyssopturn.member.Fact.Priority;
import hyssopturn.member.MemberSettings.Spread;
import hyssopturn.member.Message.Delta;
import hyssopturn.member.Message.Section;
import hyssopturn.member.Message.Summary;
import hyssopturn.model.InstanceId;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Brings the tables of nodes together: changes by position, and by summaries what got lost.
 *
 * <p>A node sends each partner the changes that the partner has not confirmed, urgent ones at once
 * and the others in rounds. Summaries of the tables are compared when two nodes meet and from time
 * to time after; they repair whatever positions missed.
 */
final class DeltaExchange {
    private static final Duration RESEND = Duration.ofMillis(600);
    private static final int REPLY_ROUNDS = 3;
    private static final Duration SUMMARY_INTERVAL = Duration.ofSeconds(30);
    private static final Duration TALKED = Duration.ofSeconds(5);
    private static final int MAX_DELTA_BYTES = 1_200;
    private static final int HEADER_BYTES = 64;
    private static final int ENTRY_BYTES = 3;
    private static final double HEADER_SHARE = 0.2;
    private static final double NORMAL_SHARE = 0.3;
    private static final double LAZY_SHARE = 0.4;

    private final MemberSettings settings;
    private final Roster roster;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Map<InstanceId, Cursor> cursors = new HashMap<>();
    private long serial;
    private long config;

    DeltaExchange(MemberSettings settings, Roster roster, Outbox outbox, RandomGenerator random) {
        this.settings = settings;
        this.roster = roster;
        this.outbox = outbox;
        this.random = random;
    }

    /** Sets the version of the configuration that partners are told. */
    void config(long version) {
        config = version;
    }

    /** Sends what is due to partners and to nodes that this one is a partner of. */
    void tick(List<InstanceId> partners, long now) {
        List<InstanceId> order = new ArrayList<>(partners);
        if (!order.isEmpty()) {
            Collections.rotate(order, random.nextInt(order.size()));
        }
        for (InstanceId partner : order) {
            initiate(partner, now);
        }
        cursors.forEach(
                (id, cursor) -> {
                    boolean talks = now - cursor.heardNanos < TALKED.toNanos();
                    if (talks && !partners.contains(id) && urgent(id, cursor)) {
                        send(id, cursor, true, now);
                    }
                });
        cursors.keySet().removeIf(id -> !roster.knows(id) && !partners.contains(id));
    }

    private void initiate(InstanceId partner, long now) {
        Cursor cursor = cursor(partner, now);
        cursor.resend(now);
        if (now >= cursor.summaryNanos && settings.spread() == Spread.DIFFERENCES) {
            if (!outbox.send(partner, summary(true), now)) {
                return;
            }
            cursor.summaryNanos = now + jittered(SUMMARY_INTERVAL.toNanos());
        }
        boolean round = now >= cursor.roundNanos;
        if (!round && !urgent(partner, cursor)) {
            return;
        }
        if (settings.spread() == Spread.FULL && round) {
            cursor.restart(cursor.incarnation, 0, now);
        }
        if (send(partner, cursor, true, now) && round) {
            cursor.roundNanos = now + jittered(settings.round().toNanos());
        }
    }

    private long jittered(long nanos) {
        return nanos * 3 / 4 + random.nextLong(nanos / 2);
    }

    private Cursor cursor(InstanceId other, long now) {
        return cursors.computeIfAbsent(
                other,
                id -> new Cursor(roster.incarnation(id), now, roster.table().position(), now));
    }

    private Summary summary(boolean reply) {
        return new Summary(settings.self().incarnation(), reply, roster.table().summary());
    }

    private boolean urgent(InstanceId to, Cursor cursor) {
        int priority = Priority.URGENT.number();
        return roster
                .table()
                .changesAfter(Priority.URGENT, cursor.scanned[priority])
                .values()
                .stream()
                .anyMatch(s -> concerns(s, to));
    }

    private boolean concerns(Table.Slot slot, InstanceId to) {
        boolean echo = slot.source().isPresent() && slot.source().get().equals(to);
        return !echo && roster.wants(to, slot.entry().fact());
    }

    private boolean send(InstanceId to, Cursor cursor, boolean reply, long now) {
        List<Section> sections = new ArrayList<>();
        int room = Math.min(MAX_DELTA_BYTES, outbox.room(now, HEADER_SHARE)) - HEADER_BYTES;
        room = addChanges(sections, Priority.URGENT, to, cursor, room);
        room = Math.min(room, outbox.room(now, NORMAL_SHARE) - HEADER_BYTES);
        room = addChanges(sections, Priority.NORMAL, to, cursor, room);
        room = addRepairs(sections, cursor, room);
        int lazy = Math.min(room, outbox.room(now, LAZY_SHARE) - HEADER_BYTES);
        addChanges(sections, Priority.LAZY, to, cursor, lazy);
        serial++;
        Delta delta =
                new Delta(
                        settings.self().incarnation(),
                        cursor.session,
                        serial,
                        reply,
                        config,
                        cursor.incarnation,
                        received(cursor),
                        sections);
        if (!outbox.send(to, delta, now)) {
            return false;
        }
        sections.forEach(s -> sent(cursor, s));
        if (!sections.isEmpty()) {
            long wait = reply ? RESEND.toNanos() : settings.round().toNanos() * REPLY_ROUNDS;
            cursor.resendNanos = now + wait;
        }
        return true;
    }

    private static List<Long> received(Cursor cursor) {
        List<Long> positions = new ArrayList<>();
        for (long position : cursor.received) {
            positions.add(Math.max(0, position));
        }
        return positions;
    }

    private static void sent(Cursor cursor, Section section) {
        if (section.from() == section.to()) {
            section.entries().forEach(e -> cursor.repairs.poll());
            return;
        }
        int priority = section.priority().number();
        cursor.sent[priority] = section.to();
        cursor.scanned[priority] = section.to();
    }

    private int addChanges(
            List<Section> sections, Priority priority, InstanceId to, Cursor cursor, int room) {
        int p = priority.number();
        int left = room;
        long reached = cursor.scanned[p];
        List<Entry> entries = new ArrayList<>();
        for (Table.Slot slot : roster.table().changesAfter(priority, cursor.scanned[p]).values()) {
            if (concerns(slot, to)) {
                int size = slot.entry().encoded().size() + ENTRY_BYTES;
                if (size > left) {
                    break;
                }
                left -= size;
                entries.add(slot.entry());
            }
            reached = slot.position();
        }
        if (entries.isEmpty()) {
            cursor.scanned[p] = reached;
            return room;
        }
        sections.add(new Section(priority, cursor.sent[p], reached, entries));
        return left;
    }

    private static int addRepairs(List<Section> sections, Cursor cursor, int room) {
        int left = room;
        List<Entry> entries = new ArrayList<>();
        for (Entry entry : cursor.repairs) {
            int size = entry.encoded().size() + ENTRY_BYTES;
            if (size > left) {
                break;
            }
            left -= size;
            entries.add(entry);
        }
        if (!entries.isEmpty()) {
            sections.add(new Section(Priority.NORMAL, 0, 0, entries));
        }
        return left;
    }

    /** Merges what came and answers it. */
    void receive(InstanceId from, Delta delta, long now) {
        for (Section section : delta.sections()) {
            section.entries().forEach(e -> roster.learn(e, Optional.of(from), now));
        }
        Cursor cursor = meet(from, delta.incarnation(), now);
        if (delta.incarnation() < cursor.incarnation) {
            return;
        }
        cursor.follow(delta.session());
        for (Section section : delta.sections()) {
            if (section.from() < section.to()) {
                cursor.receive(section.priority().number(), section.from(), section.to());
            }
        }
        if (delta.serial() > cursor.serial) {
            cursor.serial = delta.serial();
            confirm(cursor, delta);
        }
        if (delta.reply()) {
            send(from, cursor, false, now);
        }
    }

    private void confirm(Cursor cursor, Delta delta) {
        if (delta.confirmed() != settings.self().incarnation()) {
            return;
        }
        long highest = roster.table().position();
        int count = Math.min(delta.positions().size(), cursor.confirmed.length);
        for (int p = 0; p < count; p++) {
            cursor.confirm(p, Math.min(highest, delta.positions().get(p)));
        }
    }

    /** Notes what the sender lacks. */
    void receive(InstanceId from, Summary summary, long now) {
        Cursor cursor = meet(from, summary.incarnation(), now);
        cursor.repairs.clear();
        cursor.repairs.addAll(roster.table().differing(summary.buckets()));
        if (summary.reply()) {
            outbox.send(from, summary(false), now);
        }
    }

    private Cursor meet(InstanceId from, long incarnation, long now) {
        Cursor cursor = cursor(from, now);
        if (incarnation > cursor.incarnation) {
            cursor.restart(incarnation, roster.table().position(), now);
        }
        cursor.heardNanos = now;
        return cursor;
    }

    int cursors() {
        return cursors.size();
    }
}
