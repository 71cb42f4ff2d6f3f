package hyssopturn.route;

import hyssopturn.member.View.EngineView;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.EngineClient.Holding;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Costs from the steps that this node saw and from what engines report. */
public final class ObservedCosts implements EngineCosts {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double DEFAULT_LINK_NANOS = 1e6;
    private static final double DEFAULT_LAYER_NANOS = 5e5;
    private static final double DEFAULT_TOKEN_SHARE = 0.01;
    private static final double WEIGHT = 0.2;

    /** Weight of a sample that is above the link's time, so that the least times prevail. */
    private static final double WEIGHT_ABOVE = 0.02;

    private static final int PROMPT_TOKENS = 4;
    private static final int GREATEST_QUEUE_STEPS = 8;
    private static final double SUSPECT_FACTOR = 20;
    private static final Duration SUSPECT_SPAN = Duration.ofSeconds(5);

    private final Clock clock;
    private final Map<InstanceId, Learned> learned = new ConcurrentHashMap<>();

    /**
     * Creates costs that know no engine.
     *
     * @param clock time
     */
    public ObservedCosts(Clock clock) {
        this.clock = clock;
    }

    @Override
    public EngineCost cost(EngineView engine) {
        return learned.computeIfAbsent(engine.instance().id(), id -> new Learned())
                .cost(engine.report(), clock.nanos());
    }

    @Override
    public void observed(InstanceId engine, int layers, int tokens, long nanos) {
        learned.computeIfAbsent(engine, id -> new Learned()).learn(layers, tokens, nanos);
    }

    @Override
    public void assigned(InstanceId engine, int runs) {
        learned.computeIfAbsent(engine, id -> new Learned()).assign(runs);
    }

    @Override
    public void suspected(InstanceId engine) {
        long until = clock.nanos() + SUSPECT_SPAN.toNanos();
        learned.computeIfAbsent(engine, id -> new Learned()).suspect(until);
    }

    private static final class Learned {
        private double linkNanos = DEFAULT_LINK_NANOS;
        private double layerNanos;
        private double layerTokenNanos;
        private double reportedNanos;
        private int assigned;
        private boolean suspect;
        private long suspectUntil;

        synchronized EngineCost cost(EngineReport report, long now) {
            reportedNanos = report.stepMillis() * NANOS_PER_MILLI;
            double layer = layerNanos > 0 ? layerNanos : guess(report);
            double token = layerTokenNanos > 0 ? layerTokenNanos : layer * DEFAULT_TOKEN_SHARE;
            double batches = (double) report.waiting() / Math.max(1, report.running());
            double waiting = reportedNanos * Math.min(GREATEST_QUEUE_STEPS, batches);
            double beside = assigned * token * layers(report);
            double queue = waiting + beside;
            EngineCost cost = new EngineCost(linkNanos, 0, queue, layer, token);
            return suspect && now - suspectUntil < 0 ? cost.times(SUSPECT_FACTOR) : cost;
        }

        private double guess(EngineReport report) {
            return reportedNanos > 0 ? reportedNanos / layers(report) : DEFAULT_LAYER_NANOS;
        }

        private static int layers(EngineReport report) {
            int layers = report.held().stream().map(Holding::layers).mapToInt(l -> l.size()).sum();
            return Math.max(1, layers);
        }

        synchronized void assign(int runs) {
            assigned += runs;
        }

        synchronized void learn(int layers, int tokens, long nanos) {
            suspect = false;
            if (tokens >= PROMPT_TOKENS) {
                double rest = nanos - linkNanos - layers * layerNanos;
                layerTokenNanos = toward(layerTokenNanos, rest / (layers * (tokens - 1.0)));
                return;
            }
            double link = Math.max(0, nanos - reportedNanos);
            double weight = link < linkNanos ? WEIGHT : WEIGHT_ABOVE;
            linkNanos += weight * (link - linkNanos);
            layerNanos = toward(layerNanos, (nanos - linkNanos) / layers);
        }

        private static double toward(double old, double sample) {
            double positive = Math.max(1, sample);
            return old == 0 ? positive : old + WEIGHT * (positive - old);
        }

        synchronized void suspect(long until) {
            suspect = true;
            suspectUntil = until;
        }
    }
}
