package hyssopturn.filter;

import hyssopturn.admit.Admission;
import hyssopturn.admit.AdmissionRefusedException;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Outcome;
import hyssopturn.port.Clock;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;

/** Runs a request once admission control grants a permit. */
public final class AdmitFilter implements Filter {
    private static final String WHITESPACE = "\\s+";

    private final Admission admission;
    private final Clock clock;

    /**
     * Creates the filter.
     *
     * @param admission admission control
     * @param clock clock that times the permits
     */
    public AdmitFilter(Admission admission, Clock clock) {
        this.admission = admission;
        this.clock = clock;
    }

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        return Uni.createFrom()
                .completionStage(() -> admission.admit(admissionRequest(exchange)))
                .onItem()
                .transformToMulti(permit -> tracked(permit, next.proceed(exchange)))
                .onFailure(AdmissionRefusedException.class)
                .recoverWithItem(e -> refused((AdmissionRefusedException) e));
    }

    private static Admission.Request admissionRequest(Exchange exchange) {
        int promptTokens = 0;
        int maxTokens = 0;
        if (exchange.call().input() instanceof Exchange.Input.Text(String text, int tokens)) {
            promptTokens = text.split(WHITESPACE, -1).length;
            maxTokens = tokens;
        }
        return new Admission.Request(
                exchange.request(),
                exchange.account(),
                exchange.workClass(),
                promptTokens,
                maxTokens,
                exchange.arrivedNanos());
    }

    private static AnswerEvent refused(AdmissionRefusedException e) {
        return new End(Outcome.NOT_RUN, e.reason(), e.getMessage(), e.retryAfter());
    }

    private Multi<AnswerEvent> tracked(Admission.Permit permit, Multi<AnswerEvent> answer) {
        Tracker tracker = new Tracker(permit, clock.nanos());
        return answer.onItem()
                .invoke(tracker::onEvent)
                .onTermination()
                .invoke(() -> tracker.release(true));
    }

    private final class Tracker {
        private final Admission.Permit permit;
        private final long startNanos;
        private final AtomicBoolean released = new AtomicBoolean();
        private int tokens;

        Tracker(Admission.Permit permit, long startNanos) {
            this.permit = permit;
            this.startNanos = startNanos;
        }

        void onEvent(AnswerEvent event) {
            switch (event) {
                case AnswerEvent.Token token -> {
                    if (tokens == 0) {
                        permit.firstPart();
                    } else {
                        permit.nextPart();
                    }
                    tokens++;
                }
                case AnswerEvent.Body body -> permit.firstPart();
                case End end -> release(end.outcome() != Outcome.NOT_RUN);
            }
        }

        void release(boolean ran) {
            if (released.compareAndSet(false, true)) {
                Duration total = Duration.ofNanos(clock.nanos() - startNanos);
                permit.release(new Admission.Usage(ran, tokens, total));
            }
        }
    }
}
