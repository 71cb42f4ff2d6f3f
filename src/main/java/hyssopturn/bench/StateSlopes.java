package hyssopturn.bench;

import hyssopturn.config.ConfigDocument;
import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.event.HybridClock;
import hyssopturn.model.AccountId;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.ClassName;
import hyssopturn.model.InstanceId;
import hyssopturn.model.RequestId;
import hyssopturn.run.AnswerStore;
import hyssopturn.standin.VirtualClock;

import io.smallrye.mutiny.Multi;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;

/** Slopes of state that nodes keep. */
final class StateSlopes {
    private static final int CLASSES = 12;
    private static final int FOLDS = 200;

    private StateSlopes() {}

    static List<Slopes.Measurement> all() {
        return List.of(
                StateSlopes::events,
                StateSlopes::eventTime,
                StateSlopes::answers,
                StateSlopes::configTime);
    }

    private static Slope events() {
        return Slopes.measure(
                "time line",
                "events kept",
                "bytes",
                n -> Usage.heldBytes(() -> ring((int) n)),
                5_000,
                10_000,
                20_000);
    }

    private static Slope eventTime() {
        return Slopes.measure(
                "time line",
                "events recorded",
                "µs of CPU",
                n -> Usage.cpuMicros(() -> ring((int) n)),
                50_000,
                100_000,
                200_000);
    }

    private static EventRing ring(int events) {
        EventRing ring =
                new EventRing(new InstanceId("n"), new HybridClock(new VirtualClock(0)), events);
        AccountId account = new AccountId("ana");
        ClassName name = new ClassName("cutting-sheet");
        for (int i = 0; i < events; i++) {
            ring.record(new RequestId("n." + i), new Detail.Arrived(account, name));
        }
        return ring;
    }

    private static Slope answers() {
        return Slopes.measure(
                "answers",
                "tokens kept",
                "bytes",
                n -> Usage.heldBytes(() -> answers((int) n)),
                50_000,
                100_000,
                200_000);
    }

    private static AnswerStore answers(int tokens) {
        int each = 500;
        AnswerStore answers =
                new AnswerStore(
                        new VirtualClock(0), Duration.ofHours(1), 1L << 30, Duration.ofHours(1));
        for (int request = 0; request < tokens / each; request++) {
            List<AnswerEvent> events =
                    IntStream.range(0, each)
                            .<AnswerEvent>mapToObj(i -> new AnswerEvent.Token(i, " word" + i))
                            .toList();
            answers.start(
                    new RequestId("n." + request), Multi.createFrom().iterable(events), false);
        }
        return answers;
    }

    private static Slope configTime() {
        return Slopes.measure(
                "configuration",
                "revoked accounts in a document of 12 classes",
                "µs of CPU a fold",
                n ->
                        Usage.cpuMicros(
                                        () -> {
                                            for (int i = 0; i < FOLDS; i++) {
                                                ConfigDocument.parse(document((int) n), 1);
                                            }
                                        })
                                / FOLDS,
                50,
                100,
                200);
    }

    private static String document(int revoked) {
        StringBuilder text = new StringBuilder("format: 1\nmodels:\n");
        for (int model = 0; model < 3; model++) {
            text.append("  m" + model + ": {version: '1', layers: 48, layer-bytes: 1GiB}\n");
        }
        text.append("classes:\n");
        for (int i = 0; i < CLASSES; i++) {
            text.append("  class-" + i + ": {model: m" + i % 3);
            text.append(", first-token: 480ms, between-tokens: 50ms, share: 0.95}\n");
        }
        text.append("revoked:\n");
        IntStream.range(0, revoked).forEach(i -> text.append("  - account-" + i + "\n"));
        return text.toString();
    }
}
