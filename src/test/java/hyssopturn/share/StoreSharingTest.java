package hyssopturn.share;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.port.KeyedLog;
import hyssopturn.share.SimulatedGroup.Node;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;

class StoreSharingTest {
    private static final int NODES = 18;
    private static final Duration MINUTE = Duration.ofSeconds(60);

    /** Interval of a node's own reads, with two rounds to the store and some delay. */
    private static final long LEAVE_MILLIS = 1_050;

    private final SimulatedGroup group = SimulatedGroup.settled(NODES, 1);

    private static double callsWithoutSharing(int nodes) {
        SimulatedGroup own = new SimulatedGroup(nodes, 1, i -> false);
        own.clock.advance(Duration.ofSeconds(20));
        return own.callsPerNode(MINUTE);
    }

    private long millisUntilLeavingKnown(SimulatedGroup of) {
        of.announce("e1", "draining", 1);
        return of.millisUntil(() -> of.allRunning(n -> n.endpoints.get("e1").contains("draining")));
    }

    private long millisUntilLeavingKnown() {
        return millisUntilLeavingKnown(group);
    }

    private Node hub() {
        return group.hubs().getFirst();
    }

    private Node reader() {
        return group.nodes.getLast();
    }

    @Nested
    class Calls {
        /** A small group gains nothing from hubs and must not change its behaviour. */
        @Test
        void sevenNodesCallAsBefore() {
            double shared = SimulatedGroup.settled(7, 1).callsPerNode(MINUTE);
            assertThat(shared, closeTo(callsWithoutSharing(7), 0.05));
        }

        /** Calls of many nodes are the largest cost of a deployment. */
        @ParameterizedTest
        @ValueSource(ints = {18, 121})
        void manyNodesCallSeldom(int nodes) {
            double goal = callsWithoutSharing(nodes) / (nodes < 100 ? 3 : 10);
            double shared = SimulatedGroup.settled(nodes, 1).callsPerNode(MINUTE);
            assertThat(shared, lessThanOrEqualTo(goal));
        }

        /** Lost datagrams must not turn all nodes back to reads of their own. */
        @Test
        void lossesCostFewCalls() {
            group.loss = 0.02;
            group.repeated = 0.02;
            double calls = group.callsPerNode(MINUTE);
            assertThat(calls, lessThanOrEqualTo(callsWithoutSharing(NODES) / 3));
        }

        /** Each fault report used to wake a read of every node. */
        @Test
        void aFaultReportWakesOnlyHubs() {
            double before = group.store.calls;
            for (int i = 0; i < 20; i++) {
                group.store.append("faults", "e" + i, "fault " + i);
                group.clock.advance(Duration.ofMillis(200));
            }
            double calls = (group.store.calls - before) / 4 / NODES;
            assertThat(calls, lessThan(callsWithoutSharing(NODES) / 2));
            assertThat(group.allRunning(n -> n.faults.size() == 20), is(true));
        }
    }

    @Nested
    class News {
        /** An endpoint that leaves takes no request after its notice. */
        @Test
        void aLeavingEndpointIsKnownInTime() {
            long slowest = 0;
            for (int i = 0; i < 10; i++) {
                group.clock.advance(Duration.ofMillis(1_037));
                group.announce("e1", "ready", 1);
                group.clock.advance(Duration.ofSeconds(2));
                slowest = Math.max(slowest, millisUntilLeavingKnown());
            }
            assertThat(slowest, lessThanOrEqualTo(LEAVE_MILLIS));
        }

        /** Two lost datagrams in a row are rare; one must not delay anything. */
        @Test
        void aLostDatagramDelaysNothingBeyondTheBound() {
            group.loss = 0.05;
            group.repeated = 0.05;
            group.maxDelay = Duration.ofMillis(30);
            assertThat(millisUntilLeavingKnown(), lessThanOrEqualTo(LEAVE_MILLIS));
        }

        /** A large configuration does not fit into datagrams. */
        @ParameterizedTest
        @ValueSource(ints = {100, 200_000})
        void aConfigurationIsKnownAtOnce(int size) {
            String config = "x".repeat(size);
            group.store.append("config", "c", config);
            long millis = group.millisUntil(() -> group.allRunning(n -> n.config.equals(config)));
            assertThat(millis, lessThan(500L));
            group.clock.advance(Duration.ofSeconds(3));
            assertThat(group.allRunning(n -> n.asks() || group.hubs().contains(n)), is(true));
        }

        /** Reports of one endpoint must not replace each other, as they may be about other runs. */
        @Test
        void faultReportsAreAllKnownAtOnce() {
            group.store.append("faults", "e1", "first");
            group.store.append("faults", "e1", "second");
            List<String> both = List.of("first", "second");
            long millis = group.millisUntil(() -> group.allRunning(n -> n.faults.equals(both)));
            assertThat(millis, lessThan(300L));
        }

        /** A suspicion ends with the endpoint's next announcement, which only repeats the last. */
        @Test
        void repeatedAnnouncementsOfDoubtedEndpointsArePassedOn() {
            Node node = reader();
            int before = node.heartbeats.get("e3");
            node.doubted.add("e3");
            group.clock.advance(Duration.ofSeconds(4));
            assertThat(node.heartbeats.get("e3") - before, greaterThanOrEqualTo(3));
        }

        @Test
        void otherRepeatedAnnouncementsAreNot() {
            int before = reader().heartbeats.get("e3");
            group.clock.advance(Duration.ofSeconds(20));
            assertThat(reader().heartbeats.get("e3") - before, lessThanOrEqualTo(1));
        }

        /** Without the last announcement, a copy of the store could bring back an endpoint. */
        @Test
        void theLastAnnouncementComesBeforeTheRemoval() {
            Node node = reader();
            int before = node.heartbeats.get("e3");
            group.remove("e3");
            group.clock.advance(Duration.ofSeconds(2));
            assertThat(node.endpoints.get("e3"), equalTo(""));
            assertThat(node.heartbeats.get("e3") - before, equalTo(2));
        }
    }

    @Nested
    class Failures {
        @Test
        void aHubThatDiesIsReplaced() {
            hub().kill();
            assertThat(millisUntilLeavingKnown(), lessThanOrEqualTo(LEAVE_MILLIS));
            group.clock.advance(Duration.ofSeconds(15));
            assertThat(group.callsPerNode(MINUTE), lessThan(callsWithoutSharing(NODES) / 3));
        }

        @Test
        void aHubThatIsPausedIsReplaced() {
            hub().clock.pause();
            assertThat(millisUntilLeavingKnown(), lessThanOrEqualTo(LEAVE_MILLIS));
        }

        /** Answers that waited in the paused hub's sockets look recent when it goes on. */
        @Test
        void aHubThatGoesOnClaimsNothingOlder() {
            Node hub = hub();
            hub.clock.pause();
            group.clock.advance(Duration.ofSeconds(8));
            group.announce("e1", "draining", 1);
            hub.clock.goOn();
            long millis =
                    group.millisUntil(
                            () ->
                                    group.allRunning(
                                            n -> n.endpoints.get("e1").contains("draining")));
            assertThat(millis, lessThanOrEqualTo(LEAVE_MILLIS));
        }

        @Test
        void aHubThatIsCutOffFromTheStoreIsReplaced() {
            Node hub = hub();
            hub.log.cut = true;
            group.announce("e1", "draining", 1);
            long millis =
                    group.millisUntil(
                            () ->
                                    group.nodes.stream()
                                            .filter(n -> n != hub)
                                            .allMatch(
                                                    n ->
                                                            n.endpoints
                                                                    .get("e1")
                                                                    .contains("draining")));
            assertThat(millis, lessThanOrEqualTo(LEAVE_MILLIS));
            group.clock.advance(Duration.ofSeconds(20));
            assertThat(reader().asks(), is(true));
        }

        /** A slow store makes hubs lag; their readers must not take old data for recent. */
        @Test
        void aSlowStoreIsReadByAllInTime() {
            group.store.delay = Duration.ofMillis(250);
            group.clock.advance(Duration.ofSeconds(5));
            long millis = millisUntilLeavingKnown();
            assertThat(millis, lessThanOrEqualTo(LEAVE_MILLIS + 3 * 250));
        }

        /** Configurations that cannot be confirmed must not count as recent. */
        @Test
        void anOutageOfTheStoreIsNoticedByAll() {
            group.store.down = true;
            group.clock.advance(Duration.ofSeconds(5));
            long now = group.clock.nanos();
            assertThat(group.allRunning(n -> now - n.confirmedNanos >= 4_900_000_000L), is(true));
            group.store.down = false;
            group.store.append("config", "c", "version 2");
            long millis =
                    group.millisUntil(() -> group.allRunning(n -> n.config.equals("version 2")));
            assertThat(millis, lessThan(1_000L));
            group.clock.advance(Duration.ofSeconds(20));
            assertThat(reader().asks(), is(true));
        }

        /** Offsets have another meaning after the return; hubs may notice it later than readers. */
        @Test
        void allNodesReadAnewWhenTheStoreReturnsFromACopy() {
            group.clock.advance(Duration.ofSeconds(5));
            int before = reader().listings;
            group.store.restore("engines", 3 * SimulatedGroup.ENGINES);
            long millis =
                    group.millisUntil(() -> group.allRunning(n -> n.log.era().orElse(0) == 2));
            assertThat(millis, lessThanOrEqualTo(1_100L));
            group.clock.advance(Duration.ofSeconds(1));
            assertThat(reader().listings - before, equalTo(SharedStream.values().length));
            assertThat(millisUntilLeavingKnown(), lessThanOrEqualTo(LEAVE_MILLIS));
            group.clock.advance(Duration.ofSeconds(20));
            assertThat(reader().asks(), is(true));
        }

        /** A reader that was paused holds old data, whatever waits in its sockets. */
        @Test
        void aReaderThatWasPausedReadsByItself() {
            Node node = reader();
            node.clock.pause();
            group.clock.advance(Duration.ofSeconds(8));
            group.store.append("config", "c", "version 2");
            group.announce("e1", "draining", 1);
            group.clock.advance(Duration.ofMillis(100));
            node.clock.goOn();
            long millis =
                    group.millisUntil(
                            () ->
                                    node.endpoints.get("e1").contains("draining")
                                            && node.config.equals("version 2"));
            assertThat(millis, lessThan(300L));
        }

        /** A group is updated node by node, and the first holders may be of the earlier build. */
        @Test
        void nodesThatDoNotAnswerArePassedOver() {
            SimulatedGroup mixed = new SimulatedGroup(NODES, 1, i -> i >= NODES / 6);
            mixed.clock.advance(Duration.ofSeconds(30));
            assertThat(mixed.nodes.getLast().asks(), is(true));
            assertThat(millisUntilLeavingKnown(mixed), lessThanOrEqualTo(LEAVE_MILLIS));
        }

        @Test
        void withoutAnyAnswerAllReadByThemselves() {
            SimulatedGroup alone = SimulatedGroup.settled(NODES, 1);
            alone.loss = 1;
            alone.clock.advance(Duration.ofSeconds(3));
            assertThat(millisUntilLeavingKnown(alone), lessThanOrEqualTo(LEAVE_MILLIS));
            double calls = alone.callsPerNode(MINUTE);
            assertThat(calls, lessThanOrEqualTo(1.2 * callsWithoutSharing(NODES)));
        }
    }

    @Nested
    class AllAtOnce {
        private static final int ROUNDS = 60;

        private String state(Node node, String engine) {
            return node.endpoints.getOrDefault(engine, "").replaceAll("\"Sequence\":\\d+", "");
        }

        private boolean agrees(Node node) {
            Node alone = group.nodes.getFirst();
            return alone.endpoints.keySet().stream()
                            .allMatch(e -> state(node, e).equals(state(alone, e)))
                    && node.config.equals(alone.config)
                    && node.faults.equals(alone.faults);
        }

        /** A change that a node misses for good would send it requests that nobody serves. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4})
        void noChangeIsMissed(long seed) {
            Random random = new Random(seed);
            group.loss = 0.2;
            group.repeated = 0.2;
            group.maxDelay = Duration.ofMillis(300);
            for (int i = 0; i < ROUNDS; i++) {
                String engine = "e" + random.nextInt(SimulatedGroup.ENGINES);
                switch (random.nextInt(6)) {
                    case 0 -> group.announce(engine, "draining", 1);
                    case 1 -> group.announce(engine, "ready", random.nextInt(5));
                    case 2 -> group.remove(engine);
                    case 3 -> group.store.append("config", "c", "version " + i);
                    case 4 -> group.store.append("faults", engine, "fault " + i);
                    default -> pauseOrGoOn(random);
                }
                group.clock.advance(Duration.ofMillis(random.nextInt(500)));
            }
            group.nodes.forEach(n -> n.clock.goOn());
            long millis = group.millisUntil(() -> group.nodes.stream().allMatch(this::agrees));
            assertThat(millis, lessThanOrEqualTo(2 * LEAVE_MILLIS));
        }

        /** The first node always runs, so that the others can be compared with it. */
        private void pauseOrGoOn(Random random) {
            Node node = group.nodes.get(1 + random.nextInt(NODES - 1));
            if (node.clock.running()) {
                node.clock.pause();
            } else {
                node.clock.goOn();
            }
        }
    }

    @Nested
    class Forgery {
        private final ShareMessage.Question question =
                new ShareMessage.Question(
                        5,
                        1,
                        List.of(new ShareMessage.Position(SharedStream.ENDPOINTS, 0)),
                        0,
                        false,
                        List.of());

        /** A question with a forged sender could make a hub send much to that address. */
        @Test
        void questionsOfUnknownSendersGetNoReply() {
            group.maxDelay = Duration.ofMillis(1);
            int before = group.replies;
            reader().sharing.receive(new Address("10.9.9.9", 7_000), question);
            assertThat(group.replies, equalTo(before));
            reader().sharing.receive(group.nodes.get(3).address, question);
            assertThat(group.replies, greaterThan(before));
        }

        /** The number of a question is known to the hub only. */
        @Test
        void repliesToNoQuestionChangeNothing() {
            KeyedLog.Entry entry =
                    new KeyedLog.Entry("e2", Optional.of(Bytes.utf8("forged")), 1_000_000);
            ShareMessage.Reply reply =
                    new ShareMessage.Reply(
                            7,
                            1,
                            0,
                            1,
                            1,
                            List.of(
                                    new ShareMessage.StreamState(
                                            SharedStream.ENDPOINTS,
                                            ShareMessage.Status.COMPLETE,
                                            0,
                                            1_000_001,
                                            Duration.ZERO)),
                            List.of(new ShareMessage.StreamRecord(SharedStream.ENDPOINTS, entry)),
                            Optional.empty(),
                            List.of());
            group.nodes.forEach(n -> reader().sharing.receive(n.address, reply));
            assertThat(reader().endpoints.get("e2").contains("ready"), is(true));
        }
    }

    /** Ages are exact: a hub's age and the time since the question. */
    @Test
    void theAgeOfAConfigurationIsBounded() {
        long now = group.clock.nanos();
        for (Node node : group.nodes) {
            double age = (now - node.confirmedNanos) / 1e9;
            assertThat(age, both(greaterThanOrEqualTo(0.0)).and(lessThan(2.0)));
        }
    }
}
