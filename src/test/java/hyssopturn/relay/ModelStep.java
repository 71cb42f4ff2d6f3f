package hyssopturn.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** One step of a sequence that {@link StreamModel} runs; one that does not apply is skipped. */
sealed interface ModelStep {
    /** An engine sends nothing, and each node notices it; repeated, they notice it again. */
    record Silence(int engine) implements ModelStep {}

    /** A silent engine goes on. */
    record GoOn(int engine) implements ModelStep {}

    /** An engine refuses the requests for which it has sent no event yet. */
    record Refusal(int engine) implements ModelStep {}

    /** An engine sends the next event of a stream. */
    record Event(int engine, int stream) implements ModelStep {}

    /** An engine ends its answer to a stream, cut off if events are left. */
    record End(int engine, int stream) implements ModelStep {}

    /** The configuration lists an engine no more, or lists it again. */
    record Change(int engine) implements ModelStep {}

    /** An engine stops and loses its requests, or starts again without any. */
    record Stop(int engine) implements ModelStep {}

    /** The caller of a stream leaves. */
    record Leave(int stream) implements ModelStep {}

    /** Time passes. */
    record Pass(Duration time) implements ModelStep {}

    /** Lists all steps for a number of engines and streams. */
    static List<ModelStep> all(int engines, int streams) {
        List<ModelStep> steps = new ArrayList<>();
        for (int engine = 0; engine < engines; engine++) {
            steps.addAll(
                    List.of(
                            new Silence(engine),
                            new GoOn(engine),
                            new Refusal(engine),
                            new Change(engine),
                            new Stop(engine)));
            for (int stream = 0; stream < streams; stream++) {
                steps.add(new Event(engine, stream));
                steps.add(new End(engine, stream));
            }
        }
        for (int stream = 0; stream < streams; stream++) {
            steps.add(new Leave(stream));
        }
        steps.add(new Pass(Duration.ofMillis(100)));
        steps.add(new Pass(Duration.ofSeconds(1)));
        steps.add(new Pass(Duration.ofSeconds(11)));
        return List.copyOf(steps);
    }
}
