package hyssopturn.load;

import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Load by this node's own requests; not thread-safe. */
public final class OwnLoad {
    /** Time over which rates of streams are measured; a node starts few of them in a second. */
    private static final double STREAM_SECONDS = 2;

    /** Time over which rates of tokens are measured; a longer one would lag behind the load. */
    private static final double TOKEN_SECONDS = 1;

    private final Map<LoadScope, Engines> engines = new HashMap<>();
    private final Map<String, TreeMap<Integer, StreamCounts>> streams = new HashMap<>();

    /** Creates a load of zero. */
    public OwnLoad() {}

    private static final class Engines {
        private final Map<InstanceId, Long> tokens = new HashMap<>();
        private final Rate started = new Rate(TOKEN_SECONDS);
        private final Rate ended = new Rate(TOKEN_SECONDS);

        void change(InstanceId engine, long more) {
            tokens.merge(engine, more, (a, b) -> a + b == 0 ? null : a + b);
            (more > 0 ? started : ended).add(Math.abs(more));
        }

        EngineTokens measure() {
            Map<Integer, Long> units = new HashMap<>();
            tokens.forEach(
                    (id, held) ->
                            units.merge(
                                    EngineTokens.hash(id),
                                    Math.round((double) held / EngineTokens.UNIT_TOKENS),
                                    Long::sum));
            return EngineTokens.of(units);
        }
    }

    /** Streams of one priority of a service; not thread-safe. */
    public static final class StreamCounts {
        private final Rate asked = new Rate(STREAM_SECONDS);
        private final Rate started = new Rate(STREAM_SECONDS);
        private final Rate firstEvents = new Rate(STREAM_SECONDS);
        private final Rate late = new Rate(STREAM_SECONDS);
        private long held;

        private StreamCounts() {}

        /** Counts a stream that a client asked for, and that is held until it is started. */
        public void asked() {
            asked.add(1);
            held++;
        }

        /** Counts a stream that was asked for and is started now. */
        public void started() {
            started.add(1);
            held--;
        }

        /** Counts a stream that was asked for and ended without being started. */
        public void notStarted() {
            held--;
        }

        /**
         * Counts the first event of a stream.
         *
         * @param afterTarget true if it came after the target
         */
        public void firstEvent(boolean afterTarget) {
            firstEvents.add(1);
            late.add(afterTarget ? 1 : 0);
        }

        private PriorityLoad measure(int priority, long nowNanos) {
            double events = firstEvents.perSecond(nowNanos);
            double lateEvents = late.perSecond(nowNanos);
            return new PriorityLoad(
                    priority,
                    asked.perSecond(nowNanos),
                    started.perSecond(nowNanos),
                    held,
                    events == 0 ? 0 : lateEvents / events);
        }
    }

    /**
     * Returns the counts of the streams of a service with a priority.
     *
     * @param service name of the service
     * @param priority the priority, 0 is the most urgent
     * @return the counts, to be changed by the caller
     */
    public StreamCounts streams(String service, int priority) {
        return streams.computeIfAbsent(service, s -> new TreeMap<>())
                .computeIfAbsent(priority, p -> new StreamCounts());
    }

    /**
     * Changes the tokens that this node's requests hold at an engine.
     *
     * @param scope service and zone of the engine
     * @param engine the engine
     * @param more tokens of one layer that are added, negative if they are removed
     */
    public void change(LoadScope scope, InstanceId engine, long more) {
        engines.computeIfAbsent(scope, s -> new Engines()).change(engine, more);
    }

    /** Returns the tokens of one layer that this node's requests hold at an engine. */
    long tokens(LoadScope scope, InstanceId engine) {
        Engines known = engines.get(scope);
        return known == null ? 0 : known.tokens.getOrDefault(engine, 0L);
    }

    /** Returns whether streams of a service were asked for in the last seconds, or are running. */
    boolean inUse(String service, long nowNanos) {
        return streams.getOrDefault(service, new TreeMap<>()).values().stream()
                        .anyMatch(counts -> counts.asked.perSecond(nowNanos) > 0)
                || engines.entrySet().stream()
                        .anyMatch(
                                e ->
                                        e.getKey().service().equals(service)
                                                && !e.getValue().tokens.isEmpty());
    }

    /** Measures the load of a scope. */
    MeasuredLoad measure(LoadScope scope, String ownZone, long nowNanos) {
        Engines known = engines.computeIfAbsent(scope, s -> new Engines());
        return new MeasuredLoad(
                known.measure(),
                known.started.perSecond(nowNanos),
                known.ended.perSecond(nowNanos),
                scope.zone().equals(ownZone) ? priorities(scope.service(), nowNanos) : List.of());
    }

    private List<PriorityLoad> priorities(String service, long nowNanos) {
        List<PriorityLoad> loads = new ArrayList<>();
        streams.getOrDefault(service, new TreeMap<>())
                .forEach((priority, counts) -> loads.add(counts.measure(priority, nowNanos)));
        return loads;
    }
}
