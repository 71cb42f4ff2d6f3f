package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.fleet.Roster;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.port.KeyedLog;
import hyssopturn.quarantine.EngineRun;
import hyssopturn.quarantine.PromptGuard;
import hyssopturn.quarantine.PromptQuarantine;
import hyssopturn.standin.VirtualClock;
import hyssopturn.trace.TraceLog;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

/** Several nodes that share what they find out about parts of prompts through the log. */
class SharedQuarantineTest {
    private static final int NODES = 7;
    private static final Duration LOG_DELAY = Duration.ofMillis(120);

    /** Time from the arrival of a request to the crash that it causes. */
    private static final Duration READ_TIME = Duration.ofMillis(270);

    private static final Duration STEP = Duration.ofMillis(50);
    private static final Duration STABLE = Duration.ofSeconds(3);

    private final VirtualClock clock = new VirtualClock(0);
    private final TraceLog trace = new TraceLog("n", clock, OutputStream.nullOutputStream(), 1_000);
    private final SplittableRandom random = new SplittableRandom(28);
    private final List<Node> nodes = new ArrayList<>();
    private final List<Long> crashNanos = new ArrayList<>();
    private final SharedLog log =
            new SharedLog(clock, LOG_DELAY, page -> nodes.forEach(n -> n.listener.records(page)));

    private final class Node {
        private final PromptGuard guard;
        private final FaultStreamListener listener;

        Node(int number) {
            String name = "n" + number;
            QuarantineReporter reporter = new QuarantineReporter(log, clock, trace, name, random);
            guard =
                    new PromptGuard(
                            new PromptQuarantine((double) number / NODES), clock, trace, reporter);
            listener =
                    new FaultStreamListener(
                            new FaultReporter(log, new Roster(), clock, trace, name, random),
                            reporter,
                            guard);
        }
    }

    private void start() {
        for (int i = 0; i < NODES; i++) {
            nodes.add(new Node(i));
        }
    }

    @AfterEach
    void close() {
        trace.close();
    }

    private Node anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private boolean send(List<String> parts) {
        Node node = anyNode();
        if (node.guard.check(parts).isPresent()) {
            return false;
        }
        boolean bad = parts.contains("bad");
        clock.after(READ_TIME, () -> finish(node, parts, bad));
        return true;
    }

    private void finish(Node node, List<String> parts, boolean bad) {
        if (!bad) {
            node.guard.begun(parts);
            return;
        }
        crashNanos.add(clock.nanos());
        EngineRun run = new EngineRun(new InstanceId("e" + crashNanos.size()), 1);
        node.guard.crashed(run, List.of(parts));
        anyNode().guard.crashed(run, List.of(List.of("class", soundPart())));
    }

    private String soundPart() {
        return "sound" + (int) (30 * Math.pow(random.nextDouble(), 2));
    }

    @Test
    void requestsWithABadPartDoNotCrashEnginesThroughAllNodesInTurn() {
        start();
        int lateBad = 0;
        int sound = 0;
        int refusedSound = 0;
        for (long step = 0; step < Duration.ofMinutes(2).dividedBy(STEP); step++) {
            boolean bad = step > 100 && random.nextInt(10) == 0;
            if (bad) {
                boolean late =
                        crashNanos.size() >= 5
                                && clock.nanos() - crashNanos.get(4) > STABLE.toNanos();
                boolean sent = send(List.of("class", soundPart(), "bad"));
                lateBad += sent && late ? 1 : 0;
            } else {
                sound++;
                refusedSound += send(List.of("class", soundPart())) ? 0 : 1;
            }
            clock.advance(STEP);
        }
        assertThat(lateBad, lessThanOrEqualTo(3));
        assertThat(refusedSound, lessThan(sound / 100));
    }

    @Test
    void aNodeThatStartsAnewKnowsWhatIsInQuarantine() {
        start();
        for (int i = 0; i < 2; i++) {
            nodes.get(i)
                    .guard
                    .crashed(new EngineRun(new InstanceId("e" + i), 1), List.of(List.of("bad")));
            clock.advance(Duration.ofSeconds(1));
        }
        Node fresh = new Node(NODES);
        fresh.listener.snapshot(new KeyedLog.Page(log.stored().reversed(), log.appends() + 1));
        assertThat(fresh.guard.check(List.of("bad")).isPresent(), is(true));
    }

    @Test
    void aPartThatBeginsAtOneNodeIsReleasedAtAll() {
        start();
        for (int i = 0; i < 2; i++) {
            nodes.get(i)
                    .guard
                    .crashed(new EngineRun(new InstanceId("e" + i), 1), List.of(List.of("sound")));
            clock.advance(Duration.ofSeconds(1));
        }
        nodes.getFirst().guard.begun(List.of("sound"));
        clock.advance(Duration.ofSeconds(1));
        nodes.forEach(n -> assertThat(n.guard.check(List.of("sound")).isPresent(), is(false)));
    }

    @Test
    void malformedRecordsAreLeftOut() {
        start();
        KeyedLog.Entry odd =
                new KeyedLog.Entry(
                        "prompt-part/crash-1", Optional.of(Bytes.utf8("[".repeat(9_999))), 1);
        nodes.forEach(n -> n.listener.records(new KeyedLog.Page(List.of(odd), 2)));
        nodes.forEach(n -> n.listener.snapshot(new KeyedLog.Page(List.of(odd), 2)));
        assertThat(nodes.getFirst().guard.check(List.of("bad")), equalTo(Optional.empty()));
    }
}
