package hyssopturn.relay;

import hyssopturn.fleet.Endpoint;
import hyssopturn.port.Liveness;
import hyssopturn.quarantine.EngineRun;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Finds out which engines ended while requests of this node were about to begin there.
 *
 * <p>A connection that is lost before an answer has begun shows nothing by itself: links fail too.
 * It counts only if the engine then refuses connections, or is listed no more or as started anew.
 */
final class CrashWatch {
    /** How long a lost connection may still be explained by the end of its engine. */
    static final Duration EVIDENCE_AGE = Duration.ofSeconds(6);

    /** Time to collect the requests that were lost with one engine. */
    static final Duration COLLECT_DELAY = Duration.ofMillis(20);

    /** Time until a check that showed nothing is repeated. */
    static final Duration RECHECK_DELAY = Duration.ofMillis(150);

    private static final int MAX_ENGINES = 64;
    private static final int MAX_REQUESTS = 16;

    private final RelayContext context;
    private final BiConsumer<Endpoint, Consumer<Liveness>> checks;
    private final Map<EngineRun, Loss> losses = new LinkedHashMap<>();

    /** Requests that were lost with one run of an engine. */
    private static final class Loss {
        private final Endpoint engine;
        private final long sinceNanos;
        private final Set<List<String>> requests = new LinkedHashSet<>();
        private boolean gone;
        private boolean checking;
        private boolean reporting;

        Loss(Endpoint engine, long nowNanos) {
            this.engine = engine;
            sinceNanos = nowNanos;
        }

        boolean expired(long nowNanos) {
            return nowNanos - sinceNanos > EVIDENCE_AGE.toNanos();
        }
    }

    /**
     * Creates a watch without lost connections.
     *
     * @param context dependencies shared by all requests
     * @param checks checks whether an engine accepts connections, and passes on the result
     */
    CrashWatch(RelayContext context, BiConsumer<Endpoint, Consumer<Liveness>> checks) {
        this.context = context;
        this.checks = checks;
    }

    /** Records that a request was lost at an engine before its answer had begun. */
    void recordLoss(Endpoint engine, List<String> parts) {
        if (parts.isEmpty()) {
            return;
        }
        Loss loss = loss(engine);
        if (loss.requests.size() < MAX_REQUESTS) {
            loss.requests.add(parts);
        }
        if (loss.gone) {
            report(loss);
        } else if (!loss.checking) {
            check(loss);
        }
    }

    /** Checks whether an engine is gone; a check that shows nothing is repeated for some time. */
    private void check(Loss loss) {
        loss.checking = true;
        checks.accept(
                loss.engine,
                result -> {
                    boolean again =
                            result == Liveness.UNKNOWN && !loss.gone && !loss.expired(now());
                    if (again) {
                        context.clock().after(RECHECK_DELAY, () -> check(loss));
                    } else {
                        loss.checking = false;
                    }
                });
    }

    private Loss loss(Endpoint engine) {
        EngineRun run = run(engine);
        if (losses.size() >= MAX_ENGINES && !losses.containsKey(run)) {
            losses.remove(losses.keySet().iterator().next());
        }
        return losses.computeIfAbsent(run, r -> new Loss(engine, now()));
    }

    private static EngineRun run(Endpoint engine) {
        return new EngineRun(engine.id(), engine.incarnation());
    }

    /** Records that an engine does not accept connections. */
    void recordGone(Endpoint engine) {
        handleGone(loss(engine));
    }

    private void handleGone(Loss loss) {
        loss.gone = true;
        report(loss);
    }

    /** Looks for engines that are listed no more or as started anew, and forgets old losses. */
    void tick(long nowNanos) {
        losses.values().removeIf(l -> l.expired(nowNanos));
        for (Loss loss : losses.values()) {
            if (!loss.gone && context.routingState().roster().ended(loss.engine)) {
                handleGone(loss);
            }
        }
    }

    /** Reports the lost requests after a delay, in which others of the same run are collected. */
    private void report(Loss loss) {
        if (loss.reporting || loss.requests.isEmpty()) {
            return;
        }
        loss.reporting = true;
        context.clock().after(COLLECT_DELAY, () -> flush(loss));
    }

    private void flush(Loss loss) {
        loss.reporting = false;
        List<List<String>> requests = new ArrayList<>(loss.requests);
        loss.requests.clear();
        context.prompts().crashed(run(loss.engine), requests);
    }

    private long now() {
        return context.clock().nanos();
    }
}
