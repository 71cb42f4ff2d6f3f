package hyssopturn.member;

import hyssopturn.member.Fact.Priority;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/** Progress of the exchange with one other node, in both directions. */
final class Cursor {
    private static final int PRIORITIES = Priority.values().length;

    /** Marks that any position may be received next. */
    private static final long UNKNOWN = -1;

    /** Incarnation of the other node. */
    long incarnation;

    /** Identifies this cursor in messages to the other node. */
    final long session;

    /** Session of the other node's cursor. */
    long remoteSession;

    /** Highest serial received from the other node. */
    long serial;

    /** Positions of this node's changes that the other node has confirmed, by priority. */
    final long[] confirmed = new long[PRIORITIES];

    /** Positions of this node's changes that were sent, by priority. */
    final long[] sent = new long[PRIORITIES];

    /** Positions up to which this node's changes were sent or need not be, by priority. */
    final long[] scanned = new long[PRIORITIES];

    /** Positions of the other node's changes that were received, by priority. */
    final long[] received = new long[PRIORITIES];

    /** Facts to send because summaries differ. */
    final Deque<FactEntry> repairs = new ArrayDeque<>();

    /** Time at which unconfirmed changes count as lost. */
    long resendNanos;

    /** Time at which the next round begins. */
    long roundNanos;

    /** Time at which the next summary is due. */
    long summaryNanos;

    /** Time at which the last message was received. */
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

    /** Resets the cursor because the other node has restarted. */
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

    /** Sets the session of the other node; a new one resets the received positions. */
    void setRemoteSession(long session) {
        if (session != remoteSession) {
            remoteSession = session;
            Arrays.fill(received, UNKNOWN);
        }
    }

    /** Records received changes; returns false if changes before them are missing. */
    boolean receive(int priority, long from, long to) {
        if (received[priority] != UNKNOWN && from > received[priority]) {
            return false;
        }
        received[priority] = Math.max(received[priority], to);
        return true;
    }

    /** Records a position that the other node confirms. */
    void confirm(int priority, long position) {
        confirmed[priority] = Math.max(confirmed[priority], position);
        sent[priority] = Math.max(sent[priority], confirmed[priority]);
        scanned[priority] = Math.max(scanned[priority], sent[priority]);
    }

    /** Rewinds to the confirmed positions if unconfirmed changes count as lost. */
    void resend(long now) {
        if (now < resendNanos || Arrays.equals(sent, confirmed)) {
            return;
        }
        System.arraycopy(confirmed, 0, sent, 0, PRIORITIES);
        System.arraycopy(confirmed, 0, scanned, 0, PRIORITIES);
    }
}
