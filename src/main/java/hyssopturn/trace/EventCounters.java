package hyssopturn.trace;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;

import java.util.function.Consumer;

/**
 * Counts events by cause and outcome, also those whose lines the log drops.
 *
 * <p>Labels have few values each: they never hold ids or addresses.
 */
public final class EventCounters implements Consumer<TraceEvent> {
    private static final String NAME = "hyssopturn.events";

    private final MeterRegistry meters;

    /**
     * Creates counters.
     *
     * @param meters registry of the counters
     */
    public EventCounters(MeterRegistry meters) {
        this.meters = meters;
    }

    @Override
    public void accept(TraceEvent event) {
        String name = event.getClass().getSimpleName();
        meters.counter(NAME, labels(event).and("event", name)).increment();
    }

    private static Tags labels(TraceEvent event) {
        return switch (event) {
            case TraceEvent.Ended e -> labels(e.cause(), e.outcome());
            case TraceEvent.AttemptFailed e -> labels(e.cause(), e.next());
            case TraceEvent.AttemptKept e -> labels(e.cause(), e.obstacle());
            case TraceEvent.AdmissionDecided e -> labels(e.cause(), e.decision());
            case TraceEvent.RetryDeferred e -> labels(e.obstacle(), "");
            case TraceEvent.DeferralEnded e -> labels("", e.outcome());
            case TraceEvent.Rerouted e -> labels(e.cause(), e.done() ? "done" : "refused");
            case TraceEvent.EndpointChanged e -> labels("", e.state());
            case TraceEvent.EndpointsListed e -> labels("", "");
            case TraceEvent.Dependency e -> labels(e.name(), e.state());
            case TraceEvent.Ordered e ->
                    labels("", e.result().startsWith("no answer") ? "no answer" : e.result());
            case TraceEvent.Duty e -> labels("", e.held() ? "held" : "lost");
            case TraceEvent.ZoneCovered e -> labels("", e.missing() > 0 ? "broken" : "whole");
            case TraceEvent.ZoneFlowChanged e -> labels("", e.part() > 0 ? "sent" : "none");
            case TraceEvent.ShareDealt e -> labels("", "");
            case TraceEvent.Stopping e -> labels("", e.phase());
            case TraceEvent.LibraryMessage e -> labels("", e.level());
            case TraceEvent.Started e -> labels("", "");
            case TraceEvent.Reloaded e -> labels("", e.changed() ? "changed" : "same");
            case TraceEvent.ConfigInForce e -> labels("", "");
            case TraceEvent.Malformed e -> labels(e.stream(), "");
            case TraceEvent.Offered e -> labels(e.reach(), e.attempt() > 1 ? "again" : "first");
            case TraceEvent.LoopDelayed e -> labels("", "");
            case TraceEvent.CrashEvidence e -> labels("", "");
            case TraceEvent.PartQuarantined e -> labels("", "");
            case TraceEvent.PartsCleared e -> labels("", "");
            case TraceEvent.Stalled e -> labels("", "");
            case TraceEvent.Dropped e -> labels("", "");
        };
    }

    private static Tags labels(String cause, String outcome) {
        return Tags.of("cause", cause, "outcome", outcome);
    }
}
