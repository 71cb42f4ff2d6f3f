package hyssopturn.filter;

import hyssopturn.metric.Attainment;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.AnswerEvent.End;
import hyssopturn.model.Outcome;
import hyssopturn.model.Target;
import hyssopturn.port.Clock;

import io.smallrye.mutiny.Multi;

import java.time.Duration;

/** Measures whether each answer met the latency target of its class. */
public final class AttainmentFilter implements Filter {
    private final Attainment attainment;
    private final Clock clock;

    /**
     * Creates the filter.
     *
     * @param attainment counts answers within and outside their target
     * @param clock clock that times the answers
     */
    public AttainmentFilter(Attainment attainment, Clock clock) {
        this.attainment = attainment;
        this.clock = clock;
    }

    @Override
    public Multi<AnswerEvent> apply(Exchange exchange, Next next) {
        return Multi.createFrom()
                .deferred(
                        () -> {
                            Timer timer = new Timer(exchange);
                            return next.proceed(exchange).onItem().invoke(timer::onEvent);
                        });
    }

    private final class Timer {
        private final Exchange exchange;
        private final Duration between;
        private Duration first = Duration.ZERO;
        private long previousNanos;
        private int parts;
        private int lateGaps;

        Timer(Exchange exchange) {
            this.exchange = exchange;
            between =
                    exchange.workClass().target() instanceof Target.Stream stream
                            ? stream.between()
                            : Duration.ZERO;
        }

        void onEvent(AnswerEvent event) {
            if (event instanceof End end) {
                end(end);
                return;
            }
            long now = clock.nanos();
            if (parts == 0) {
                first = Duration.ofNanos(now - exchange.arrivedNanos());
            } else if (now - previousNanos > between.toNanos()) {
                lateGaps++;
            }
            previousNanos = now;
            parts++;
        }

        private void end(End end) {
            int gaps = Math.max(0, parts - 1);
            Attainment.Timing timing = new Attainment.Timing(first, gaps, lateGaps);
            boolean met =
                    end.outcome() == Outcome.DONE && timing.meets(exchange.workClass().target());
            attainment.count(exchange.workClass().name(), met);
        }
    }
}
