package hyssopturn.load;

import hyssopturn.model.Address;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;

/**
 * Adds up the loads that other nodes report, for the scopes that they ask for.
 *
 * <p>A node is forgotten when nothing was heard of it for {@link #EXPIRY}. The bounds on the number
 * of scopes, nodes and engines keep the memory small whatever arrives.
 */
final class LoadSums {
    /** Time after its last report at which a node's load no longer counts. */
    static final Duration EXPIRY = Duration.ofSeconds(3);

    /** Time for which a sum is used again, so that many questions do not cost as many sums. */
    private static final Duration REUSE = Duration.ofMillis(50);

    /** Interval at which engines without load are left out of a sum. */
    private static final Duration LIST_INTERVAL = Duration.ofSeconds(30);

    private static final int MAX_SCOPES = 128;
    private static final int MAX_NODES = 2_048;
    private static final int MAX_ENGINES = 8_192;
    private static final int MAX_PRIORITIES = 10;

    private final Map<LoadScope, ScopeSum> scopes = new HashMap<>();

    /** Adds a report; returns the answer, empty if the report is old, repeated or not whole. */
    Optional<LoadMessage.Sum> receive(
            Address from, LoadMessage.Report report, boolean misdirected, long nowNanos) {
        if (!scopes.containsKey(report.scope()) && scopes.size() >= MAX_SCOPES) {
            return Optional.empty();
        }
        return scopes.computeIfAbsent(report.scope(), s -> new ScopeSum())
                .receive(from, report, misdirected, nowNanos);
    }

    /** Forgets the nodes that were not heard of for some time, and scopes without nodes. */
    void expire(long nowNanos) {
        scopes.values().forEach(scope -> scope.expire(nowNanos));
        scopes.values().removeIf(scope -> scope.parts.isEmpty());
    }

    /** Forgets everything. */
    void clear() {
        scopes.clear();
    }

    private static final class Part {
        private final long start;
        private final FragmentBuffer fragments = new FragmentBuffer();
        private MeasuredLoad load = MeasuredLoad.NONE;
        private long sequence;
        private long includedSequence;
        private long receivedNanos;

        Part(long start, long nowNanos) {
            this.start = start;
            receivedNanos = nowNanos;
        }
    }

    private static final class ScopeSum {
        private final Map<Address, Part> parts = new HashMap<>();
        private final Map<Integer, Long> units = new HashMap<>();
        private MeasuredLoad sum = MeasuredLoad.NONE;
        private MeasuredLoad sumWithoutNames = MeasuredLoad.NONE;
        private int[] listed = new int[0];
        private long listedNanos;
        private int names;
        private long summedNanos;
        private long oldestNanos;
        private int nodes;
        private boolean summed;

        Optional<LoadMessage.Sum> receive(
                Address from, LoadMessage.Report report, boolean misdirected, long nowNanos) {
            Optional<Part> accepted = part(from, report, nowNanos);
            if (accepted.isEmpty()) {
                return Optional.empty();
            }
            Part part = accepted.get();
            return part.fragments
                    .add(report.sequence(), report)
                    .filter(whole -> report.sequence() > part.sequence)
                    .map(
                            whole -> {
                                replace(part, whole.load(), report.sequence(), nowNanos);
                                return answer(part, report, misdirected, nowNanos);
                            });
        }

        /** Returns what is known of the sender; empty if the report is from before its restart. */
        private Optional<Part> part(Address from, LoadMessage.Report report, long nowNanos) {
            Part known = parts.get(from);
            if (known != null && known.start > report.start()) {
                return Optional.empty();
            }
            if (known != null && known.start == report.start()) {
                return Optional.of(known);
            }
            if (known == null && parts.size() >= MAX_NODES) {
                return Optional.empty();
            }
            if (known != null) {
                known.load.engines().addTo(units, -1);
            }
            Part created = new Part(report.start(), nowNanos);
            parts.put(from, created);
            return Optional.of(created);
        }

        private void replace(Part part, MeasuredLoad load, long sequence, long nowNanos) {
            if (units.size() + load.engines().size() > MAX_ENGINES) {
                return;
            }
            part.load.engines().addTo(units, -1);
            load.engines().addTo(units, 1);
            part.load = load;
            part.sequence = sequence;
            part.receivedNanos = nowNanos;
        }

        void expire(long nowNanos) {
            parts.values()
                    .removeIf(
                            part -> {
                                boolean old = nowNanos - part.receivedNanos >= EXPIRY.toNanos();
                                if (old) {
                                    part.load.engines().addTo(units, -1);
                                    summed = false;
                                }
                                return old;
                            });
        }

        private LoadMessage.Sum answer(
                Part asking, LoadMessage.Report report, boolean misdirected, long nowNanos) {
            if (!summed || nowNanos - summedNanos >= REUSE.toNanos()) {
                expire(nowNanos);
                sumUp(nowNanos);
            }
            return new LoadMessage.Sum(
                    report.scope(),
                    report.start(),
                    report.sequence(),
                    asking.includedSequence,
                    nodes,
                    Duration.ofNanos(nowNanos - oldestNanos),
                    misdirected,
                    names,
                    report.knownNames() == names ? sumWithoutNames : sum,
                    LoadMessage.Fragment.WHOLE);
        }

        private void sumUp(long nowNanos) {
            double started = 0;
            double ended = 0;
            oldestNanos = nowNanos;
            nodes = 0;
            Map<Integer, List<PriorityLoad>> priorities = new TreeMap<>();
            for (Part part : parts.values()) {
                part.includedSequence = part.sequence;
                if (part.sequence == 0) {
                    continue;
                }
                nodes++;
                oldestNanos = Math.min(oldestNanos, part.receivedNanos);
                started += part.load.startedTokens();
                ended += part.load.endedTokens();
                for (PriorityLoad load : part.load.priorities()) {
                    priorities.computeIfAbsent(load.priority(), p -> new ArrayList<>()).add(load);
                }
            }
            List<PriorityLoad> byPriority =
                    priorities.values().stream().limit(MAX_PRIORITIES).map(ScopeSum::sum).toList();
            EngineTokens engines = EngineTokens.at(listEngines(nowNanos), units);
            names = engines.digest();
            sum = new MeasuredLoad(engines, started, ended, byPriority);
            sumWithoutNames = sum.with(engines.withoutNames());
            summedNanos = nowNanos;
            summed = true;
        }

        /** Returns the engines of the sum; they stay the same for some time if none is added. */
        private int[] listEngines(long nowNanos) {
            boolean added =
                    units.keySet().stream().anyMatch(h -> Arrays.binarySearch(listed, h) < 0);
            if (added) {
                listed =
                        IntStream.concat(
                                        Arrays.stream(listed),
                                        units.keySet().stream().mapToInt(Integer::intValue))
                                .sorted()
                                .distinct()
                                .toArray();
            }
            if (nowNanos - listedNanos >= LIST_INTERVAL.toNanos() || listed.length > MAX_ENGINES) {
                listed = units.keySet().stream().mapToInt(Integer::intValue).sorted().toArray();
                listedNanos = nowNanos;
            }
            return listed;
        }

        private static PriorityLoad sum(List<PriorityLoad> loads) {
            double started = loads.stream().mapToDouble(PriorityLoad::startedPerSecond).sum();
            double late =
                    loads.stream().mapToDouble(l -> l.latePart() * l.startedPerSecond()).sum();
            return new PriorityLoad(
                    loads.getFirst().priority(),
                    loads.stream().mapToDouble(PriorityLoad::askedPerSecond).sum(),
                    started,
                    loads.stream().mapToDouble(PriorityLoad::held).sum(),
                    started == 0 ? 0 : late / started);
        }
    }
}
