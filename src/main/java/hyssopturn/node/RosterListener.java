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

import java.util.HashSet;
import java.util.Set;
import java.util.function.Function;

/** Applies endpoints' announcements to the roster. */
final class RosterListener implements KeyedFollower.Listener {
    private static final String STREAM = "endpoint-stream";

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
        for (KeyedLog.Entry entry : page.entries()) {
            if (entry.key().isBlank()) {
                continue;
            }
            if (entry.value().isPresent()) {
                announce(entry, now);
            } else if (roster.remove(new InstanceId(entry.key()), now)) {
                recordChange(entry.key(), "", "gone", "", "entry removed");
            }
        }
        roster.purge(now);
        if (lost) {
            lost = false;
            trace.record(new TraceEvent.Dependency(STREAM, "regained", ""));
        }
    }

    private void announce(KeyedLog.Entry entry, long now) {
        try {
            Endpoint endpoint = decoder.apply(entry);
            if (roster.announce(endpoint, now)) {
                recordChange(
                        entry.key(),
                        endpoint.service(),
                        endpoint.leaving() ? "leaving" : "listed",
                        endpoint.layers().map(Object::toString).orElse(""),
                        "announced");
            }
        } catch (IllegalArgumentException e) {
            trace.record(
                    new TraceEvent.Malformed(STREAM, entry.key(), entry.offset(), e.getMessage()));
        }
    }

    private void recordChange(
            String id, String service, String state, String layers, String cause) {
        trace.record(new TraceEvent.EndpointChanged(id, service, state, layers, cause));
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
