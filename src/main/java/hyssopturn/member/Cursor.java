package hyssopturn.member;

import hyssopturn.member.Fact.Priority;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/** How far the exchange with one node has come, in both directions. */
final class Cursor {
    private static final int PRIORITIES = Priority.values().length;

    /** Any position may be received next. */
    private static final long UNKNOWN = -1;

    /** Incarnation of the other node. */
    long incarnation;

    /** Names this cursor to the other node. */
    final long session;

    /** Name of the other node's cursor. */
    long theirSession;

    /** Highest serial seen of its messages. */
    long serial;

    /** Our positions that it has confirmed. */
    final long[] confirmed = new long[PRIORITIES];

    /** Our positions that it was sent. */
    final long[] sent = new long[PRIORITIES];

    /** Our positions up to which there is nothing more to send. */
    final long[] scanned = new long[PRIORITIES];

    /** Its positions that we have received. */
    final long[] received = new long[PRIORITIES];

    /** Facts to send because summaries differ. */
    final Deque<Entry> repairs = new ArrayDeque<>();

    /** When what was sent counts as lost. */
    long resendNanos;

    /** When the next round begins. */
    long roundNanos;

    /** When the next summary is due. */
    long summaryNanos;

    /** When its last message came. */
    long heardNanos;

    Cursor(long incarnation, long session, long position, long now) {
        this.session = session;
        this.incarnation = incarnation;
        roundNanos = now;
        summaryNanos = now;
        heardNanos = now;
        startAt(position);
        Arrays.fill(received, UNKNOWN);
    }

    /** Forgets the other node's past, for it has started anew. */
    void restart(long newIncarnation, long position, long now) {
        incarnation = newIncarnation;
        serial = 0;
        repairs.clear();
        summaryNanos = now;
        startAt(position);
        Arrays.fill(received, UNKNOWN);
    }

    private void startAt(long position) {
        Arrays.fill(confirmed, position);
        Arrays.fill(sent, position);
        Arrays.fill(scanned, position);
    }

    /** Notes which cursor the other node uses. */
    void follow(long session) {
        if (session != theirSession) {
            theirSession = session;
            Arrays.fill(received, UNKNOWN);
        }
    }

    /** Notes changes that came; true unless some before them are missing. */
    boolean receive(int priority, long from, long to) {
        if (received[priority] != UNKNOWN && from > received[priority]) {
            return false;
        }
        received[priority] = Math.max(received[priority], to);
        return true;
    }

    /** Notes what the other node confirms. */
    void confirm(int priority, long position) {
        confirmed[priority] = Math.max(confirmed[priority], position);
        sent[priority] = Math.max(sent[priority], confirmed[priority]);
        scanned[priority] = Math.max(scanned[priority], sent[priority]);
    }

    /** Goes back to what is confirmed if the rest counts as lost. */
    void resend(long now) {
        if (now < resendNanos || Arrays.equals(sent, confirmed)) {
            return;
        }
        System.arraycopy(confirmed, 0, sent, 0, PRIORITIES);
        System.arraycopy(confirmed, 0, scanned, 0, PRIORITIES);
    }
}
