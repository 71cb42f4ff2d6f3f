package hyssopturn.quarantine;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Decides which parts of prompts make engines crash. Does no I/O; the caller passes in the time.
 *
 * <p>A part is blamed if several crashes, at different times, met requests with it that were about
 * to begin, and no request with it has begun since. It is then in quarantine for a time that grows
 * with each further crash. After that a single request may show whether the part is still harmful.
 * Parts of one request that were at the same crashes are blamed together only, until another
 * request shows which of them it is. Not thread-safe.
 */
public final class PromptQuarantine {
    /** Crashes after which a part is blamed with which no request is known to have begun. */
    static final int MIN_CRASHES = 2;

    /** Crashes after which a part is blamed with which requests began a short time ago. */
    static final int MIN_CRASHES_IF_KNOWN = 5;

    /** How long a part is known after a request with it began. */
    static final Duration KNOWN_AFTER_BEGIN = Duration.ofMinutes(5);

    /** How long after a request with a part began a crash is no evidence against the part. */
    static final Duration SOUND_AFTER_BEGIN = Duration.ofSeconds(3);

    /**
     * Part of all crashes at which a part must have been present to be blamed after few crashes.
     */
    static final double MIN_SHARE = 0.25;

    /** First quarantine of a part; each further crash multiplies it. */
    static final Duration FIRST_QUARANTINE = Duration.ofSeconds(15);

    /** Longest quarantine. */
    static final Duration MAX_QUARANTINE = Duration.ofMinutes(30);

    /** Time after which evidence is forgotten if no crash has confirmed it. */
    static final Duration MEMORY = Duration.ofHours(1);

    /** Least time between two requests that may show whether a part is still harmful. */
    static final Duration PROBE_INTERVAL = Duration.ofSeconds(3);

    /** How long after a crash a request that was there is not repeated. */
    static final Duration NO_REPEAT = Duration.ofSeconds(30);

    private static final int GROWTH = 4;
    private static final int MAX_SUSPECTS = 512;
    private static final int MAX_BEGUN = 4_096;
    private static final int MAX_CRASHES = 256;

    private final double spread;
    private final Map<String, PartEvidence> suspects = new LinkedHashMap<>();
    private final Map<String, Long> begun = new LinkedHashMap<>();
    private final Deque<CrashTime> crashes = new ArrayDeque<>();

    private record CrashTime(EngineRun run, long nanos) {}

    /**
     * A part that is in quarantine.
     *
     * @param part id of the part
     * @param crashes number of crashes that it is blamed for
     * @param duration time until the quarantine ends
     */
    public record Blame(String part, int crashes, Duration duration) {}

    /**
     * Creates a quarantine without parts.
     *
     * @param spread from 0 to 1; by how much quarantines are longer than at nodes with 0, so that
     *     the nodes do not all try a part at the same time
     */
    public PromptQuarantine(double spread) {
        this.spread = spread;
    }

    /**
     * Returns the parts of a request that a crash would be evidence against.
     *
     * @param parts ids of the request's shared parts
     * @param nowNanos current time
     * @return the ids without those with which requests began a moment ago
     */
    public List<String> suspected(List<String> parts, long nowNanos) {
        return parts.stream().filter(p -> !begunWithin(p, SOUND_AFTER_BEGIN, nowNanos)).toList();
    }

    private boolean begunWithin(String part, Duration period, long nowNanos) {
        Long begin = begun.get(part);
        return begin != null && nowNanos - begin < period.toNanos();
    }

    /**
     * Records a crash.
     *
     * @param crash the crash, with requests that were about to begin; may be reported repeatedly
     * @param nowNanos time of the crash
     * @return the parts that are in quarantine because of this crash
     */
    public List<Blame> recordCrash(QuarantineReport.Crash crash, long nowNanos) {
        if (crashes.stream().noneMatch(c -> c.run().equals(crash.run()))) {
            crashes.addLast(new CrashTime(crash.run(), nowNanos));
            if (crashes.size() > MAX_CRASHES) {
                crashes.removeFirst();
            }
        }
        List<Blame> blamed = new ArrayList<>();
        for (List<String> request : crash.requests()) {
            for (String part : suspected(request, nowNanos)) {
                PartEvidence evidence = touch(part, nowNanos);
                boolean known = known(part, nowNanos);
                boolean held = known && nowNanos < evidence.untilNanos();
                if (evidence.add(crash.run(), request, nowNanos)
                        && blamed(known, evidence)
                        && !held) {
                    Duration duration = duration(known, evidence);
                    evidence.quarantine(nowNanos + duration.toNanos());
                    blamed.add(new Blame(part, evidence.count(), duration));
                }
            }
        }
        return blamed;
    }

    /** Returns the evidence against a part, which becomes the latest one. */
    private PartEvidence touch(String part, long nowNanos) {
        PartEvidence evidence = suspects.remove(part);
        if (evidence == null || nowNanos - evidence.latestNanos() > MEMORY.toNanos()) {
            evidence = new PartEvidence();
        }
        if (suspects.size() >= MAX_SUSPECTS) {
            removeLeastSuspect();
        }
        suspects.put(part, evidence);
        return evidence;
    }

    /**
     * Removes the part of the oldest evidence, of those that were never blamed if there are any.
     */
    private void removeLeastSuspect() {
        String oldest =
                suspects.entrySet().stream()
                        .filter(e -> !e.getValue().everBlamed())
                        .map(Map.Entry::getKey)
                        .findFirst()
                        .orElseGet(() -> suspects.keySet().iterator().next());
        suspects.remove(oldest);
    }

    private boolean known(String part, long nowNanos) {
        return begunWithin(part, KNOWN_AFTER_BEGIN, nowNanos);
    }

    private boolean blamed(boolean known, PartEvidence evidence) {
        return evidence.count() >= MIN_CRASHES_IF_KNOWN
                || (!known && evidence.count() >= MIN_CRASHES && frequent(evidence));
    }

    private boolean frequent(PartEvidence evidence) {
        long all =
                crashes.stream()
                        .filter(c -> c.nanos() >= evidence.firstNanos())
                        .filter(c -> c.nanos() <= evidence.latestNanos())
                        .count();
        return evidence.size() >= MIN_SHARE * all;
    }

    /** Returns the next quarantine; if many requests share the part, it grows once for each. */
    private Duration duration(boolean known, PartEvidence evidence) {
        int growths = known ? evidence.quarantines() : evidence.count() - MIN_CRASHES;
        Duration duration = FIRST_QUARANTINE;
        for (int i = 0; i < growths && shorter(duration); i++) {
            duration = duration.multipliedBy(GROWTH);
        }
        Duration limited = shorter(duration) ? duration : MAX_QUARANTINE;
        return limited.plusNanos((long) (limited.toNanos() * spread));
    }

    private static boolean shorter(Duration duration) {
        return duration.compareTo(MAX_QUARANTINE) < 0;
    }

    /**
     * Returns the parts of a crash with which requests began some time ago.
     *
     * @param crash the crash
     * @param nowNanos current time
     * @return ids of the parts
     */
    public List<String> known(QuarantineReport.Crash crash, long nowNanos) {
        return crash.requests().stream()
                .flatMap(List::stream)
                .distinct()
                .filter(p -> known(p, nowNanos))
                .toList();
    }

    /**
     * Records that other nodes know parts with which requests began some time ago, so that it takes
     * more crashes to blame them.
     *
     * @param parts ids of the parts
     * @param nowNanos current time
     */
    public void recordKnown(List<String> parts, long nowNanos) {
        for (String part : parts) {
            if (!known(part, nowNanos)) {
                recordBegun(part, nowNanos - SOUND_AFTER_BEGIN.toNanos());
            }
            PartEvidence evidence = suspects.get(part);
            if (evidence != null && evidence.count() < MIN_CRASHES_IF_KNOWN) {
                evidence.release();
            }
        }
    }

    private void recordBegun(String part, long nanos) {
        begun.remove(part);
        begun.put(part, nanos);
        if (begun.size() > MAX_BEGUN) {
            begun.remove(begun.keySet().iterator().next());
        }
    }

    /**
     * Records that a request has begun, which clears its parts.
     *
     * @param parts ids of the request's shared parts
     * @param nowNanos current time
     * @return the parts against which there was evidence
     */
    public List<String> recordBegin(List<String> parts, long nowNanos) {
        List<String> cleared = new ArrayList<>();
        for (String part : parts) {
            recordBegun(part, nowNanos);
            if (suspects.remove(part) != null) {
                cleared.add(part);
            }
        }
        return cleared;
    }

    /**
     * Decides whether a request may be sent to an engine. If a quarantine is over, one request may,
     * and others wait for what becomes of it.
     *
     * @param parts ids of the request's shared parts
     * @param nowNanos current time
     * @return time until the quarantine of a part ends, empty if the request may be sent
     */
    public Optional<Duration> check(List<String> parts, long nowNanos) {
        forgetOld(parts, nowNanos);
        List<PartEvidence> held = new ArrayList<>();
        for (String part : parts) {
            PartEvidence evidence = suspects.get(part);
            if (evidence != null && held(evidence, parts)) {
                held.add(evidence);
            }
        }
        if (held.stream().allMatch(e -> e.mayProbe(PROBE_INTERVAL, nowNanos))) {
            held.forEach(e -> e.probe(nowNanos));
            return Optional.empty();
        }
        long until = held.stream().mapToLong(PartEvidence::untilNanos).max().orElse(nowNanos);
        Duration left = Duration.ofNanos(until - nowNanos);
        return Optional.of(left.compareTo(PROBE_INTERVAL) > 0 ? left : PROBE_INTERVAL);
    }

    private void forgetOld(List<String> parts, long nowNanos) {
        for (String part : parts) {
            PartEvidence evidence = suspects.get(part);
            if (evidence != null && nowNanos - evidence.latestNanos() > MEMORY.toNanos()) {
                suspects.remove(part);
            }
        }
    }

    /** Returns whether a part that was blamed is to be held back in this request. */
    private boolean held(PartEvidence evidence, List<String> parts) {
        return evidence.everBlamed()
                && suspects.values().stream()
                        .noneMatch(other -> other.everBlamed() && other.explains(evidence))
                && parts.containsAll(equallySuspect(evidence));
    }

    private List<String> equallySuspect(PartEvidence evidence) {
        Set<String> companions = evidence.companions();
        return companions.stream()
                .filter(p -> suspects.containsKey(p) && suspects.get(p).covers(evidence))
                .toList();
    }

    /**
     * Returns whether a request that was at a crash should not be repeated.
     *
     * @param parts ids of the request's shared parts
     * @param nowNanos current time
     * @return true if there is recent evidence against one of the parts
     */
    public boolean implicated(List<String> parts, long nowNanos) {
        return parts.stream()
                .map(suspects::get)
                .anyMatch(e -> e != null && nowNanos - e.latestNanos() < NO_REPEAT.toNanos());
    }

    /**
     * Counts the parts against which there is evidence.
     *
     * @return number of parts, limited
     */
    public int size() {
        return suspects.size();
    }
}
