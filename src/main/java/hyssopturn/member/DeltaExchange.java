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
 * Synchronizes the fact tables of nodes by incremental deltas and by anti-entropy repair.
 *
 * <p>A node sends each partner the changes that the partner has not confirmed: urgent ones at once,
 * the others in rounds. Hashes of the tables (summaries) are compared at the first contact of two
 * nodes and periodically afterwards; they find facts that the deltas missed.
 */
final class DeltaExchange {
    private static final Duration RESEND_DELAY = Duration.ofMillis(600);
    private static final int REPLY_ROUNDS = 3;
    private static final Duration SUMMARY_INTERVAL = Duration.ofSeconds(30);
    private static final Duration ACTIVE_PERIOD = Duration.ofSeconds(5);
    private static final int MAX_DELTA_BYTES = 1_200;
    private static final int HEADER_BYTES = 64;
    private static final int ENTRY_BYTES = 3;

    /** Share of the burst that no fact may use, so that messages without facts can be sent. */
    private static final double HEADER_RESERVE = 0.2;

    /** Share of the burst that facts of normal priority may not use. */
    private static final double NORMAL_RESERVE = 0.3;

    /** Share of the burst that facts of lazy priority may not use. */
    private static final double LAZY_RESERVE = 0.4;

    private final MemberSettings settings;
    private final Roster roster;
    private final Outbox outbox;
    private final RandomGenerator random;
    private final Map<InstanceId, Cursor> cursors = new HashMap<>();
    private long serial;
    private long configVersion;

    DeltaExchange(MemberSettings settings, Roster roster, Outbox outbox, RandomGenerator random) {
        this.settings = settings;
        this.roster = roster;
        this.outbox = outbox;
        this.random = random;
    }

    /** Sets the configuration version that deltas carry. */
    void configVersion(long version) {
        configVersion = version;
    }

    /** Sends due messages to partners and to nodes that have chosen this one as a partner. */
    void tick(List<InstanceId> partners, long now) {
        List<InstanceId> order = new ArrayList<>(partners);
        if (!order.isEmpty()) {
            Collections.rotate(order, random.nextInt(order.size()));
        }
        for (InstanceId partner : order) {
            exchangeWith(partner, now);
        }
        cursors.forEach(
                (id, cursor) -> {
                    boolean active = now - cursor.heardNanos < ACTIVE_PERIOD.toNanos();
                    if (active && !partners.contains(id) && hasUrgentChanges(id, cursor)) {
                        send(id, cursor, true, now);
                    }
                });
        cursors.keySet().removeIf(id -> !roster.contains(id) && !partners.contains(id));
    }

    private void exchangeWith(InstanceId partner, long now) {
        Cursor cursor = cursor(partner, now);
        cursor.resend(now);
        if (now >= cursor.summaryNanos && settings.spread() == Spread.DIFFERENCES) {
            if (!outbox.send(partner, summary(true), now)) {
                return;
            }
            cursor.summaryNanos = now + jittered(SUMMARY_INTERVAL.toNanos());
        }
        boolean round = now >= cursor.roundNanos;
        if (!round && !hasUrgentChanges(partner, cursor)) {
            return;
        }
        if (settings.spread() == Spread.FULL && round) {
            cursor.restart(cursor.incarnation, 0, now);
        }
        if (send(partner, cursor, true, now) && round) {
            cursor.roundNanos = now + jittered(settings.roundInterval().toNanos());
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

    private Summary summary(boolean wantsReply) {
        return new Summary(settings.self().incarnation(), wantsReply, roster.table().summary());
    }

    private boolean hasUrgentChanges(InstanceId to, Cursor cursor) {
        int priority = Priority.URGENT.number();
        return roster
                .table()
                .changesAfter(Priority.URGENT, cursor.scanned[priority])
                .values()
                .stream()
                .anyMatch(s -> isRelevant(s, to));
    }

    private boolean isRelevant(FactTable.Slot slot, InstanceId to) {
        boolean echo = slot.source().isPresent() && slot.source().get().equals(to);
        return !echo && roster.isRelevantTo(to, slot.entry().fact());
    }

    private boolean send(InstanceId to, Cursor cursor, boolean wantsReply, long now) {
        List<Section> sections = new ArrayList<>();
        int room = Math.min(MAX_DELTA_BYTES, outbox.room(now, HEADER_RESERVE)) - HEADER_BYTES;
        room = addChanges(sections, Priority.URGENT, to, cursor, room);
        room = Math.min(room, outbox.room(now, NORMAL_RESERVE) - HEADER_BYTES);
        room = addChanges(sections, Priority.NORMAL, to, cursor, room);
        room = addRepairs(sections, cursor, room);
        int lazy = Math.min(room, outbox.room(now, LAZY_RESERVE) - HEADER_BYTES);
        addChanges(sections, Priority.LAZY, to, cursor, lazy);
        serial++;
        Delta delta =
                new Delta(
                        settings.self().incarnation(),
                        cursor.session,
                        serial,
                        wantsReply,
                        configVersion,
                        cursor.incarnation,
                        receivedPositions(cursor),
                        sections);
        if (!outbox.send(to, delta, now)) {
            return false;
        }
        sections.forEach(s -> markSent(cursor, s));
        if (!sections.isEmpty()) {
            long wait =
                    wantsReply
                            ? RESEND_DELAY.toNanos()
                            : settings.roundInterval().toNanos() * REPLY_ROUNDS;
            cursor.resendNanos = now + wait;
        }
        return true;
    }

    private static List<Long> receivedPositions(Cursor cursor) {
        List<Long> positions = new ArrayList<>();
        for (long position : cursor.received) {
            positions.add(Math.max(0, position));
        }
        return positions;
    }

    private static void markSent(Cursor cursor, Section section) {
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
        int index = priority.number();
        int remaining = room;
        long reached = cursor.scanned[index];
        List<FactEntry> entries = new ArrayList<>();
        for (FactTable.Slot slot :
                roster.table().changesAfter(priority, cursor.scanned[index]).values()) {
            if (isRelevant(slot, to)) {
                int size = slot.entry().encoded().size() + ENTRY_BYTES;
                if (size > remaining) {
                    break;
                }
                remaining -= size;
                entries.add(slot.entry());
            }
            reached = slot.position();
        }
        if (entries.isEmpty()) {
            cursor.scanned[index] = reached;
            return room;
        }
        sections.add(new Section(priority, cursor.sent[index], reached, entries));
        return remaining;
    }

    private static int addRepairs(List<Section> sections, Cursor cursor, int room) {
        int remaining = room;
        List<FactEntry> entries = new ArrayList<>();
        for (FactEntry entry : cursor.repairs) {
            int size = entry.encoded().size() + ENTRY_BYTES;
            if (size > remaining) {
                break;
            }
            remaining -= size;
            entries.add(entry);
        }
        if (!entries.isEmpty()) {
            sections.add(new Section(Priority.NORMAL, 0, 0, entries));
        }
        return remaining;
    }

    /** Merges the facts of a delta and replies if the sender wants a reply. */
    void receive(InstanceId from, Delta delta, long now) {
        for (Section section : delta.sections()) {
            section.entries().forEach(e -> roster.merge(e, Optional.of(from), now));
        }
        Cursor cursor = refreshCursor(from, delta.incarnation(), now);
        if (delta.incarnation() < cursor.incarnation) {
            return;
        }
        cursor.setRemoteSession(delta.session());
        for (Section section : delta.sections()) {
            if (section.from() < section.to()) {
                cursor.receive(section.priority().number(), section.from(), section.to());
            }
        }
        if (delta.serial() > cursor.serial) {
            cursor.serial = delta.serial();
            confirm(cursor, delta);
        }
        if (delta.wantsReply()) {
            send(from, cursor, false, now);
        }
    }

    private void confirm(Cursor cursor, Delta delta) {
        if (delta.confirmedIncarnation() != settings.self().incarnation()) {
            return;
        }
        long highest = roster.table().position();
        int count = Math.min(delta.confirmedPositions().size(), cursor.confirmed.length);
        for (int p = 0; p < count; p++) {
            cursor.confirm(p, Math.min(highest, delta.confirmedPositions().get(p)));
        }
    }

    /**
     * Queues the facts of buckets that differ for sending, and replies with a summary if wanted.
     */
    void receive(InstanceId from, Summary summary, long now) {
        Cursor cursor = refreshCursor(from, summary.incarnation(), now);
        cursor.repairs.clear();
        cursor.repairs.addAll(roster.table().differing(summary.buckets()));
        if (summary.wantsReply()) {
            outbox.send(from, summary(false), now);
        }
    }

    private Cursor refreshCursor(InstanceId from, long incarnation, long now) {
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
