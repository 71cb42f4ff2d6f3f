package hyssopturn.route;

import hyssopturn.member.View.EngineView;
import hyssopturn.model.InstanceId;
import hyssopturn.port.Clock;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.EngineClient.Holding;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Predicts costs from the steps that this node observed and from the reports of engines. */
public final class ObservedCosts implements EngineCosts {
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double DEFAULT_LINK_NANOS = 1e6;
    private static final double DEFAULT_LAYER_NANOS = 5e5;
    private static final double DEFAULT_TOKEN_SHARE = 0.01;
    private static final double SAMPLE_WEIGHT = 0.2;

    /** Weight of a sample above the estimated link time, so that the lowest samples dominate. */
    private static final double HIGH_SAMPLE_WEIGHT = 0.02;

    /** Number of tokens from which a step counts as a prompt. */
    private static final int MIN_PROMPT_TOKENS = 4;

    private static final int MAX_QUEUE_STEPS = 8;
    private static final double SUSPECT_FACTOR = 20;
    private static final Duration SUSPECT_DURATION = Duration.ofSeconds(5);

    private final Clock clock;
    private final Map<InstanceId, Estimate> estimates = new ConcurrentHashMap<>();

    /**
     * Creates a cost model without observations.
     *
     * @param clock source of time
     */
    public ObservedCosts(Clock clock) {
        this.clock = clock;
    }

    @Override
    public EngineCost cost(EngineView engine) {
        return estimates
                .computeIfAbsent(engine.instance().id(), id -> new Estimate())
                .cost(engine.report(), clock.nanos());
    }

    @Override
    public void observed(InstanceId engine, int layers, int tokens, long nanos) {
        estimates.computeIfAbsent(engine, id -> new Estimate()).learn(layers, tokens, nanos);
    }

    @Override
    public void assigned(InstanceId engine, int change) {
        estimates.computeIfAbsent(engine, id -> new Estimate()).assign(change);
    }

    @Override
    public void suspected(InstanceId engine) {
        long until = clock.nanos() + SUSPECT_DURATION.toNanos();
        estimates.computeIfAbsent(engine, id -> new Estimate()).suspect(until);
    }

    private static final class Estimate {
        private double linkNanos = DEFAULT_LINK_NANOS;
        private double layerNanos;
        private double layerTokenNanos;
        private double reportedNanos;
        private int assignedRuns;
        private boolean suspect;
        private long suspectUntil;

        /**
         * Predicts the cost from the estimates and the latest report.
         *
         * <p>The queue time is that of the reported waiting steps and of the runs that this node
         * has on the engine.
         */
        synchronized EngineCost cost(EngineReport report, long now) {
            reportedNanos = report.stepMillis() * NANOS_PER_MILLI;
            double layer = layerNanos > 0 ? layerNanos : defaultLayerNanos(report);
            double token = layerTokenNanos > 0 ? layerTokenNanos : layer * DEFAULT_TOKEN_SHARE;
            double batches = (double) report.waiting() / Math.max(1, report.running());
            double waiting = reportedNanos * Math.min(MAX_QUEUE_STEPS, batches);
            double ownRuns = assignedRuns * token * layers(report);
            double queue = waiting + ownRuns;
            EngineCost cost = new EngineCost(linkNanos, 0, queue, layer, token);
            return suspect && now - suspectUntil < 0 ? cost.scaled(SUSPECT_FACTOR) : cost;
        }

        private double defaultLayerNanos(EngineReport report) {
            return reportedNanos > 0 ? reportedNanos / layers(report) : DEFAULT_LAYER_NANOS;
        }

        private static int layers(EngineReport report) {
            int layers = report.held().stream().map(Holding::layers).mapToInt(l -> l.size()).sum();
            return Math.max(1, layers);
        }

        synchronized void assign(int change) {
            assignedRuns += change;
        }

        synchronized void learn(int layers, int tokens, long nanos) {
            suspect = false;
            if (tokens >= MIN_PROMPT_TOKENS) {
                double rest = nanos - linkNanos - layers * layerNanos;
                layerTokenNanos = smoothed(layerTokenNanos, rest / (layers * (tokens - 1.0)));
                return;
            }
            double link = Math.max(0, nanos - reportedNanos);
            double weight = link < linkNanos ? SAMPLE_WEIGHT : HIGH_SAMPLE_WEIGHT;
            linkNanos += weight * (link - linkNanos);
            layerNanos = smoothed(layerNanos, (nanos - linkNanos) / layers);
        }

        private static double smoothed(double old, double sample) {
            double positive = Math.max(1, sample);
            return old == 0 ? positive : old + SAMPLE_WEIGHT * (positive - old);
        }

        synchronized void suspect(long until) {
            suspect = true;
            suspectUntil = until;
        }
    }
}
