package hyssopturn.quarantine;

import java.time.Duration;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Crashes at which requests with one part of a prompt were about to begin. Does no I/O. */
final class PartEvidence {
    /** Maximum number of crashes that are kept, the latest ones. */
    private static final int MAX_CRASHES = 16;

    /** Crashes within this time of the first of them may have one cause, and count as one. */
    static final Duration SAME_CAUSE = Duration.ofMillis(200);

    /** For each crash, the parts that all requests with this part had there. */
    private final Map<EngineRun, Set<String>> crashes = new LinkedHashMap<>();

    private int count;
    private int quarantines;
    private long firstNanos = Long.MAX_VALUE;
    private long countedNanos;
    private long latestNanos = Long.MIN_VALUE;
    private long untilNanos = Long.MIN_VALUE;
    private long probeNanos = Long.MIN_VALUE;

    /** Adds a request that was about to begin; returns whether the crash counts as another one. */
    boolean add(EngineRun run, List<String> request, long nowNanos) {
        Set<String> known = crashes.get(run);
        if (known != null) {
            known.retainAll(new HashSet<>(request));
            return false;
        }
        if (crashes.size() == MAX_CRASHES) {
            crashes.remove(crashes.keySet().iterator().next());
        }
        crashes.put(run, new LinkedHashSet<>(request));
        firstNanos = Math.min(firstNanos, nowNanos);
        latestNanos = Math.max(latestNanos, nowNanos);
        if (count > 0 && nowNanos - countedNanos < SAME_CAUSE.toNanos()) {
            return false;
        }
        count++;
        countedNanos = nowNanos;
        return true;
    }

    /** Returns the number of crashes, those at the same time counted once. */
    int count() {
        return count;
    }

    /** Returns the number of crashes that are kept, also those at the same time. */
    int size() {
        return crashes.size();
    }

    /** Returns how often the part has been put into quarantine. */
    int quarantines() {
        return quarantines;
    }

    /** Returns whether the part has been in quarantine. */
    boolean everBlamed() {
        return untilNanos != Long.MIN_VALUE;
    }

    long firstNanos() {
        return firstNanos;
    }

    long latestNanos() {
        return latestNanos;
    }

    /** Returns whether these are all crashes of the other part and more. */
    boolean explains(PartEvidence other) {
        return crashes.size() > other.crashes.size() && covers(other);
    }

    /** Returns whether these are all crashes of the other part, or more. */
    boolean covers(PartEvidence other) {
        return crashes.keySet().containsAll(other.crashes.keySet());
    }

    /** Returns the parts that every request with this part had, at every crash. */
    Set<String> companions() {
        Set<String> common = new HashSet<>();
        boolean first = true;
        for (Set<String> parts : crashes.values()) {
            if (first) {
                common.addAll(parts);
                first = false;
            } else {
                common.retainAll(parts);
            }
        }
        return common;
    }

    void quarantine(long endNanos) {
        quarantines++;
        untilNanos = Math.max(untilNanos, endNanos);
    }

    /** Ends a quarantine; the crashes stay evidence. */
    void release() {
        untilNanos = Long.MIN_VALUE;
        probeNanos = Long.MIN_VALUE;
    }

    long untilNanos() {
        return untilNanos;
    }

    /** Returns whether a request may show now whether the part still makes engines crash. */
    boolean mayProbe(Duration interval, long nowNanos) {
        return nowNanos >= untilNanos
                && (probeNanos == Long.MIN_VALUE || nowNanos - probeNanos >= interval.toNanos());
    }

    void probe(long nowNanos) {
        probeNanos = nowNanos;
    }
}
