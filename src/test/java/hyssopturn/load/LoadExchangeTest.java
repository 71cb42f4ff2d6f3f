package hyssopturn.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;

class LoadExchangeTest {
    private static final LoadScope A = new LoadScope("writers", "a");
    private static final LoadScope B = new LoadScope("writers", "b");
    private static final LoadScope C = new LoadScope("writers", "c");
    private static final InstanceId ENGINE = new InstanceId("a-engine-1");
    private static final InstanceId UNUSED = new InstanceId("a-engine-2");
    private static final double TOKENS = 6_400;
    private static final List<String> ZONES = List.of("a", "b", "c");

    private LoadNetwork network = network(9);

    private static LoadNetwork network(int nodes) {
        return new LoadNetwork(
                nodes,
                ZONES,
                Set.of(A, B, C),
                id -> id.value().startsWith("a") ? Optional.of(A) : Optional.empty());
    }

    /** Lets every node hold the same tokens, then time for all to hear of them. */
    private void loadAll() {
        network.nodes().forEach(n -> n.own().change(A, ENGINE, (long) TOKENS));
        advance(4_000);
    }

    private void advance(long millis) {
        network.clock().advance(Duration.ofMillis(millis));
    }

    private OptionalDouble used(int node) {
        return network.nodes().get(node).exchange().usedTokens(ENGINE);
    }

    private List<Boolean> known() {
        return network.nodes().stream()
                .map(n -> n.exchange().usedTokens(ENGINE).isPresent())
                .toList();
    }

    @Nested
    class Sums {
        @Test
        void everyNodeKnowsWhatAllHold() {
            loadAll();
            for (int i = 0; i < 9; i++) {
                assertThat(used(i).orElse(0), closeTo(9 * TOKENS, 1));
                assertThat(network.nodes().get(i).exchange().nodesHeard(), equalTo(9));
            }
            assertThat(
                    network.nodes().getFirst().exchange().usedTokens(UNUSED),
                    equalTo(OptionalDouble.of(0)));
        }

        /** A node's own new requests would count twice or not at all until the next sum. */
        @Test
        void aNodesOwnLoadCountsAtOnceAndOnce() {
            loadAll();
            network.nodes().getFirst().own().change(A, ENGINE, (long) TOKENS);
            assertThat(used(0).orElse(0), closeTo(10 * TOKENS, 1));
            for (int i = 0; i < 40; i++) {
                advance(50);
                assertThat(
                        used(0).orElse(0),
                        both(greaterThan(9.9 * TOKENS)).and(lessThan(13 * TOKENS)));
            }
            advance(2_000);
            assertThat(used(0).orElse(0), closeTo(10 * TOKENS, 1));
        }

        @Test
        void streamsOfAZoneAreAddedUpByPriority() {
            for (LoadNetwork.Node node : network.nodes()) {
                OwnLoad.StreamCounts urgent = node.own().streams("writers", 0);
                OwnLoad.StreamCounts other = node.own().streams("writers", 2);
                advance(300);
                for (int i = 0; i < 3; i++) {
                    urgent.asked();
                    other.asked();
                }
                urgent.started();
                urgent.firstEvent(true);
            }
            advance(1_500);
            ZoneLoad zone = network.nodes().get(1).exchange().zone("writers", "a").orElseThrow();
            assertThat(zone.nodes(), equalTo(9));
            assertThat(zone.priorities().size(), equalTo(2));
            assertThat(zone.priorities().getFirst().held(), equalTo(6.0));
            assertThat(zone.priorities().getLast().held(), equalTo(9.0));
            assertThat(zone.priorities().getLast().priority(), equalTo(2));
            assertThat(zone.age(), lessThan(Duration.ofSeconds(3)));
        }

        @Test
        void twoNodesExchangeNothing() {
            network = network(2);
            loadAll();
            assertThat(known(), everyItem(is(false)));
            assertThat(network.nodes().getFirst().exchange().sent(), equalTo(0L));
        }

        @Test
        void startsOfOthersSinceTheSumMakeItUncertain() {
            loadAll();
            assertThat(network.nodes().getFirst().exchange().uncertainTokens(ENGINE), equalTo(0.0));
            for (int i = 0; i < 20; i++) {
                network.nodes().forEach(n -> n.own().change(A, ENGINE, (long) TOKENS));
                network.nodes().forEach(n -> n.own().change(A, ENGINE, (long) -TOKENS));
                advance(100);
            }
            assertThat(
                    network.nodes().getFirst().exchange().uncertainTokens(ENGINE),
                    greaterThan(TOKENS));
        }
    }

    @Nested
    class Faults {
        @Test
        void lostRepeatedAndReorderedMessagesDoNotChangeTheSum() {
            network.link(0.1, 0.3, Duration.ofMillis(400));
            loadAll();
            for (int i = 0; i < 20; i++) {
                advance(250);
                used(0).ifPresent(u -> assertThat(u, closeTo(9 * TOKENS, 1)));
            }
            assertThat(network.nodes().getFirst().exchange().dropped(), greaterThan(0L));
        }

        @Test
        void allLostMeansNothingIsKnownAfterTheValidity() {
            loadAll();
            network.link(1, 0, Duration.ofMillis(1));
            advance(ScopeQuery.VALIDITY.toMillis());
            network.nodes().stream()
                    .filter(n -> !n.equals(network.summing(A, false)))
                    .filter(n -> !n.equals(network.summing(A, true)))
                    .forEach(
                            n ->
                                    assertThat(
                                            n.exchange().usedTokens(ENGINE).isPresent(),
                                            is(false)));
        }

        @Test
        void messagesOlderThanTheValidityDoNotMakeOldSumsNew() {
            loadAll();
            network.link(0, 0, Duration.ofMillis(1));
            network.nodes().getFirst().pause();
            advance(2_500);
            network.nodes().getFirst().resume();
            assertThat(
                    network.nodes().getFirst().exchange().usedTokens(ENGINE).isPresent(),
                    is(false));
        }

        @Test
        void aDeadNodesLoadExpires() {
            loadAll();
            int last = 0;
            while (network.nodes().get(last).equals(network.summing(A, false))
                    || network.nodes().get(last).equals(network.summing(A, true))) {
                last++;
            }
            network.nodes().get(last).kill();
            advance(2_000);
            int other = (last + 1) % 9;
            assertThat(used(other).orElse(0), closeTo(9 * TOKENS, 1));
            advance(2_500);
            assertThat(used(other).orElse(0), closeTo(8 * TOKENS, 1));
        }

        @Test
        void anotherNodeStandsInForOneThatDies() {
            loadAll();
            network.summing(A, false).kill();
            LoadNetwork.Node observer = observer();
            for (int i = 0; i < 30; i++) {
                advance(100);
                assertThat(observer.exchange().usedTokens(ENGINE).isPresent(), is(true));
            }
            advance(3_000);
            assertThat(observer.exchange().usedTokens(ENGINE).orElse(0), closeTo(8 * TOKENS, 1));
        }

        /** A node that was frozen would tell sums of reports that waited in its socket. */
        @Test
        void aPausedNodeTellsNoSumsUntilItHasHeardAll() {
            loadAll();
            network.summing(A, false).pause();
            LoadNetwork.Node observer = observer();
            network.nodes().forEach(n -> n.own().change(A, ENGINE, (long) TOKENS));
            advance(5_000);
            network.summing(A, false).resume();
            for (int i = 0; i < 40; i++) {
                advance(100);
                assertThat(
                        observer.exchange().usedTokens(ENGINE).orElse(0),
                        both(greaterThan(15.5 * TOKENS)).and(lessThan(18.5 * TOKENS)));
            }
            assertThat(observer.exchange().usedTokens(ENGINE).orElse(0), closeTo(18 * TOKENS, 1));
        }

        private LoadNetwork.Node observer() {
            return network.nodes().stream()
                    .filter(n -> !n.equals(network.summing(A, false)))
                    .filter(n -> !n.equals(network.summing(A, true)))
                    .findFirst()
                    .orElseThrow();
        }

        @Test
        void aZoneThatIsCutOffKnowsNothingAndIsNotCounted() {
            network = network(30);
            loadAll();
            network.cut("c");
            advance(5_000);
            for (LoadNetwork.Node node : network.nodes()) {
                node.exchange()
                        .zone("writers", "a")
                        .ifPresent(zone -> assertThat(zone.nodes(), equalTo(20)));
            }
            long knowing = known().stream().filter(k -> k).count();
            assertThat(knowing, equalTo(20L));
            network.cut("");
            advance(2_500);
            assertThat(used(2).orElse(0), closeTo(30 * TOKENS, 1));
        }

        /** Sums that lack most nodes would make engines look empty. */
        @Test
        void nodesOfAnOlderBuildAreNotTakenForIdleOnes() {
            network.nodes().stream().limit(4).forEach(LoadNetwork.Node::kill);
            loadAll();
            assertThat(known().subList(4, 9), everyItem(is(false)));
        }

        @Test
        void aSumInsideACutZoneIsTooSmallToBeUsed() {
            network = network(30);
            network.nodes().stream().limit(13).forEach(LoadNetwork.Node::kill);
            loadAll();
            assertThat(known().subList(13, 30), everyItem(is(false)));
        }

        @Test
        void sumsThatWereNotAskedForAreDropped() {
            loadAll();
            LoadExchange exchange = network.nodes().getFirst().exchange();
            long dropped = exchange.dropped();
            for (long sequence = 1; sequence < 200; sequence++) {
                exchange.receive(new Address("10.9.9.9", 1), forgedSum(sequence));
                exchange.receive(network.summing(A, false).address(), forgedSum(sequence));
            }
            assertThat(exchange.dropped(), greaterThanOrEqualTo(dropped + 390));
            assertThat(used(0).orElse(0), lessThanOrEqualTo(9 * TOKENS + 1));
        }

        private LoadMessage.Sum forgedSum(long sequence) {
            return new LoadMessage.Sum(
                    A,
                    12_345,
                    sequence,
                    0,
                    9,
                    Duration.ZERO,
                    false,
                    1,
                    new MeasuredLoad(
                            EngineTokens.of(
                                    new int[] {EngineTokens.hash(ENGINE)}, new long[] {1L << 30}),
                            0,
                            0,
                            List.of()),
                    LoadMessage.Fragment.WHOLE);
        }

        @Test
        void aReportFromBeforeARestartIsIgnored() {
            LoadSums sums = new LoadSums();
            Address node = new Address("10.0.0.1", 1);
            assertThat(sums.receive(node, report(20, 1), false, 0), is(not(Optional.empty())));
            assertThat(sums.receive(node, report(10, 9), false, 1), is(Optional.empty()));
            assertThat(sums.receive(node, report(20, 1), false, 2), is(Optional.empty()));
            assertThat(sums.receive(node, report(30, 1), false, 3), is(not(Optional.empty())));
        }

        private LoadMessage.Report report(long start, long sequence) {
            return new LoadMessage.Report(
                    A, start, sequence, false, 0, MeasuredLoad.NONE, LoadMessage.Fragment.WHOLE);
        }
    }
}
