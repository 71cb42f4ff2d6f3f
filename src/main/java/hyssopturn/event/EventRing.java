package hyssopturn.event;

import hyssopturn.helper.Check;
import hyssopturn.model.InstanceId;
import hyssopturn.model.RequestId;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The latest events of a node, bounded in number. */
public final class EventRing {
    private final InstanceId node;
    private final HybridClock clock;
    private final Event[] ring;
    private long next;

    /**
     * Creates an empty ring.
     *
     * @param node node that the events belong to
     * @param clock gives the stamps
     * @param capacity greatest number of events kept
     */
    public EventRing(InstanceId node, HybridClock clock, int capacity) {
        Check.that(capacity > 0, "capacity must be positive");
        this.node = node;
        this.clock = clock;
        ring = new Event[capacity];
    }

    /**
     * Records an event of no request.
     *
     * @param detail what happened
     */
    public void record(Detail detail) {
        record(Optional.empty(), detail);
    }

    /**
     * Records an event of a request.
     *
     * @param request the request
     * @param detail what happened
     */
    public void record(RequestId request, Detail detail) {
        record(Optional.of(request), detail);
    }

    private synchronized void record(Optional<RequestId> request, Detail detail) {
        ring[(int) (next % ring.length)] = new Event(clock.next(), node, request, detail);
        next++;
    }

    /**
     * Returns the events kept, oldest first.
     *
     * @return a copy
     */
    public synchronized List<Event> events() {
        List<Event> events = new ArrayList<>();
        for (long i = Math.max(0, next - ring.length); i < next; i++) {
            events.add(ring[(int) (i % ring.length)]);
        }
        return events;
    }
}
