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

/** Lets a request run when admission says so. */
public final class AdmitFilter implements Filter {
    private static final String SPACES = "\\s+";

    private final Admission admission;
    private final Clock clock;

    /**
     * Creates the filter.
     *
     * @param admission decides
     * @param clock time
     */
    public AdmitFilter(Admission admission, Clock clock) {
        this.admission = admission;
        this.clock = clock;
    }

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        return Uni.createFrom()
                .completionStage(() -> admission.admit(ask(exchange)))
                .onItem()
                .transformToMulti(permit -> tracked(permit, next.proceed(exchange)))
                .onFailure(AdmissionRefusedException.class)
                .recoverWithItem(e -> refused((AdmissionRefusedException) e));
    }

    private static Admission.Request ask(Exchange exchange) {
        int prompt = 0;
        int max = 0;
        if (exchange.call().input() instanceof Exchange.Input.Text(String text, int tokens)) {
            prompt = text.split(SPACES, -1).length;
            max = tokens;
        }
        return new Admission.Request(
                exchange.request(),
                exchange.account(),
                exchange.workClass(),
                prompt,
                max,
                exchange.arrivedNanos());
    }

    private static AnswerEvent refused(AdmissionRefusedException e) {
        return new End(Outcome.NOT_RUN, e.reason(), e.getMessage(), e.retryAfter());
    }

    private Multi<AnswerEvent> tracked(Admission.Permit permit, Multi<AnswerEvent> answer) {
        Tracker tracker = new Tracker(permit, clock.nanos());
        return answer.onItem()
                .invoke(tracker::on)
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

        void on(AnswerEvent event) {
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
