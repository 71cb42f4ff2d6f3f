package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.port.Instance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Endpoints that requests of this node saw failing; each rests longer the more often it fails. */
final class Evidence {
    private static final Duration REST = Duration.ofSeconds(1);
    private static final Duration MAX_REST = Duration.ofSeconds(8);
    private static final int MAX_DOUBLINGS = 3;

    private final Map<InstanceId, Suspect> suspects = new HashMap<>();

    private record Suspect(long incarnation, int times, long untilNanos) {}

    /** Notes a failure; true if the endpoint was not resting. */
    boolean failed(Instance endpoint, long now) {
        Suspect before = suspects.get(endpoint.id());
        boolean same = before != null && before.incarnation() == endpoint.incarnation();
        if (same && now < before.untilNanos()) {
            return false;
        }
        int times = same ? Math.min(before.times() + 1, MAX_DOUBLINGS) : 0;
        long rest = Math.min(MAX_REST.toNanos(), REST.toNanos() << times);
        suspects.put(endpoint.id(), new Suspect(endpoint.incarnation(), times, now + rest));
        return true;
    }

    /** Notes an answer; true if the endpoint was resting or had failed. */
    boolean answered(InstanceId id, long incarnation) {
        Suspect before = suspects.get(id);
        return before != null && before.incarnation() == incarnation && suspects.remove(id) != null;
    }

    boolean rests(Instance endpoint, long now) {
        Suspect suspect = suspects.get(endpoint.id());
        return suspect != null
                && suspect.incarnation() == endpoint.incarnation()
                && now < suspect.untilNanos();
    }

    /** Drops what is long past; true if an endpoint may be tried again. */
    boolean prune(Roster roster, long now) {
        int before = suspects.size();
        suspects.entrySet()
                .removeIf(
                        e ->
                                !roster.knows(e.getKey())
                                        || now - e.getValue().untilNanos() > MAX_REST.toNanos());
        boolean ended =
                suspects.values().stream()
                        .anyMatch(
                                s ->
                                        now >= s.untilNanos()
                                                && now - s.untilNanos() < REST.toNanos());
        return ended || suspects.size() != before;
    }
}
