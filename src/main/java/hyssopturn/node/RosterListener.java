package hyssopturn.node;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Roster;
import hyssopturn.log.KeyedFollower;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.KeyedLog;
import hyssopturn.port.PortException;
import hyssopturn.trace.TraceEvent;
import hyssopturn.trace.TraceLog;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/** Applies endpoints' announcements to the roster. */
final class RosterListener implements KeyedFollower.Listener {
    private static final String STREAM = "endpoint-stream";

    /** Number of listed endpoints in one read above which they share one log line. */
    static final int MAX_SINGLE_LINES = 8;

    private final Roster roster;
    private final Function<KeyedLog.Entry, Endpoint> decoder;
    private final Clock clock;
    private final TraceLog trace;
    private boolean lost;

    RosterListener(
            Roster roster,
            Function<KeyedLog.Entry, Endpoint> decoder,
            Clock clock,
            TraceLog trace) {
        this.roster = roster;
        this.decoder = decoder;
        this.clock = clock;
        this.trace = trace;
    }

    @Override
    public void snapshot(KeyedLog.Page page) {
        Set<InstanceId> listed = new HashSet<>();
        for (KeyedLog.Entry entry : page.entries()) {
            if (entry.value().isPresent() && !entry.key().isBlank()) {
                listed.add(new InstanceId(entry.key()));
            }
        }
        roster.retain(listed, clock.nanos());
        records(page);
    }

    @Override
    public void records(KeyedLog.Page page) {
        long now = clock.nanos();
        Map<InstanceId, Endpoint> listed = new LinkedHashMap<>();
        for (KeyedLog.Entry entry : page.entries()) {
            if (entry.key().isBlank()) {
                continue;
            }
            if (entry.value().isPresent()) {
                announce(entry, now).ifPresent(e -> listed.put(e.id(), e));
            } else if (roster.remove(new InstanceId(entry.key()), now)) {
                recordChange(entry.key(), "", "gone", "", "entry removed");
            }
        }
        recordListed(listed.values());
        roster.purge(now);
        if (lost) {
            lost = false;
            trace.record(new TraceEvent.Dependency(STREAM, "regained", ""));
        }
    }

    /** Applies an announcement; returns the endpoint if it was listed or has changed. */
    private Optional<Endpoint> announce(KeyedLog.Entry entry, long now) {
        try {
            Endpoint endpoint = decoder.apply(entry);
            boolean changed = roster.announce(endpoint, now);
            if (changed && endpoint.leaving()) {
                recordChange(
                        entry.key(), endpoint.service(), "leaving", layers(endpoint), "announced");
            }
            return Optional.of(endpoint).filter(e -> changed && !e.leaving());
        } catch (IllegalArgumentException e) {
            roster.markUnreadable(new InstanceId(entry.key()), now);
            trace.record(
                    new TraceEvent.Malformed(STREAM, entry.key(), entry.offset(), e.getMessage()));
            return Optional.empty();
        }
    }

    private static String layers(Endpoint endpoint) {
        return endpoint.layers().map(Object::toString).orElse("");
    }

    private void recordListed(Collection<Endpoint> listed) {
        if (listed.size() > MAX_SINGLE_LINES) {
            trace.record(
                    new TraceEvent.EndpointsListed(
                            listed.stream().map(e -> e.id().value()).toList(),
                            listed.stream().map(RosterListener::layers).toList()));
            return;
        }
        for (Endpoint endpoint : listed) {
            recordChange(
                    endpoint.id().value(),
                    endpoint.service(),
                    "listed",
                    layers(endpoint),
                    "announced");
        }
    }

    private void recordChange(
            String id, String service, String state, String layers, String cause) {
        trace.record(new TraceEvent.EndpointChanged(id, service, state, layers, cause));
    }

    /** Endpoints that the copy lacks stay usable until they can have announced themselves again. */
    @Override
    public void restored() {
        roster.recordListOutage(clock.nanos());
    }

    @Override
    public void readFailed(PortException error) {
        roster.recordListOutage(clock.nanos());
        if (!lost) {
            lost = true;
            trace.record(new TraceEvent.Dependency(STREAM, "lost", error.getMessage()));
        }
    }
}
