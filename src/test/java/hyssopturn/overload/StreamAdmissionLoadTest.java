package hyssopturn.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.function.Predicate;

/** Plays load in virtual time and checks what clients get; bounds are those of the design page. */
class StreamAdmissionLoadTest {
    private static final double CAPACITY = 100_000;
    private static final double TOKENS = 1_000;

    /** Streams in a second whose tokens fill the memory: they hold it for 2.6 s on average. */
    private static final double FULL_RATE = CAPACITY / TOKENS / 2.6;

    private static final int ACCOUNTS = 8;
    private static final int WARM_UP = 2;
    private static final int END = 20;
    private static final int[] PRIORITIES = {0, 2, 4};

    static OverloadSimulation simulation(int nodes, boolean shared) {
        return new OverloadSimulation(nodes, CAPACITY, shared, true, 7);
    }

    /** Adds the accounts of a priority, which together ask for a part of the capacity. */
    static void addClass(OverloadSimulation load, int priority, double part) {
        for (int account = 0; account < ACCOUNTS; account++) {
            addAccount(load, "a" + priority + account, priority, part / ACCOUNTS);
        }
    }

    static void addAccount(OverloadSimulation load, String account, int priority, double part) {
        load.add(
                new OverloadSimulation.Clients(
                        account, priority, part * FULL_RATE, TOKENS, 0, END));
    }

    static OverloadSimulation play(int nodes, boolean shared, double part) {
        OverloadSimulation load = simulation(nodes, shared);
        for (int priority : PRIORITIES) {
            addClass(load, priority, part / PRIORITIES.length);
        }
        load.run(END);
        return load;
    }

    static double share(OverloadSimulation load, Predicate<OverloadSimulation.Stream> which) {
        return load.share(s -> OverloadSimulation.within(s, WARM_UP, END) && which.test(s));
    }

    @Nested
    class WithoutOverload {
        @ParameterizedTest
        @ValueSource(ints = {1, 7, 20})
        void everyStreamStartsWhenItArrives(int nodes) {
            OverloadSimulation load = play(nodes, false, 0.5);
            assertThat(load.streams.stream().filter(s -> s.refused).count(), equalTo(0L));
            assertThat(load.streams.stream().filter(s -> s.held).count(), equalTo(0L));
        }
    }

    @Nested
    class UnderOverload {
        @ParameterizedTest
        @CsvSource({"1,false", "1,true", "7,true", "20,true"})
        void streamsThatStartBeginOnTime(int nodes, boolean shared) {
            assertThat(play(nodes, shared, 1.5).shareOfStarted(), greaterThanOrEqualTo(0.9));
        }

        @Tag("known-red")
        @ParameterizedTest
        @ValueSource(ints = {7, 20})
        void streamsThatStartBeginOnTimeWhereOtherNodesAreNotHeard(int nodes) {
            assertThat(play(nodes, false, 1.5).shareOfStarted(), greaterThanOrEqualTo(0.9));
        }

        @ParameterizedTest
        @CsvSource({"1,false", "7,false", "20,false", "1,true", "7,true", "20,true"})
        void everyClassAccountAndSizeGetsAQuarterOfTheShareOfAll(int nodes, boolean shared) {
            OverloadSimulation load = play(nodes, shared, 1.5);
            double least = share(load, s -> true) / 4;
            for (int priority : PRIORITIES) {
                assertThat(share(load, s -> s.priority == priority), greaterThanOrEqualTo(least));
            }
            assertThat(share(load, s -> s.tokens > 2 * TOKENS), greaterThanOrEqualTo(least));
        }

        @ParameterizedTest
        @CsvSource({"1,false", "7,false", "20,false", "1,true", "7,true", "20,true"})
        void moreStreamsAreOnTimeThanWithoutControl(int nodes, boolean shared) {
            OverloadSimulation without = new OverloadSimulation(nodes, CAPACITY, false, false, 7);
            for (int priority : PRIORITIES) {
                addClass(without, priority, 0.5);
            }
            without.run(END);
            assertThat(
                    share(play(nodes, shared, 1.5), s -> true),
                    greaterThan(share(without, s -> true)));
        }

        @Tag("known-red")
        @Test
        void mostOfTheBoundOfTheCapacityIsOnTime() {
            OverloadSimulation load = play(7, true, 1.5);
            assertThat(
                    share(load, s -> true),
                    greaterThanOrEqualTo(0.9 * load.bound(CAPACITY, WARM_UP, END)));
        }
    }

    @Nested
    class Bursts {
        @Tag("known-red")
        @ParameterizedTest
        @CsvSource({"1,true", "7,true", "20,true"})
        void ofTheLeastUrgentClassCostTheUrgentOnesUnderTwoPoints(int nodes, boolean shared) {
            assertThat(
                    urgentShare(nodes, shared, 1.4),
                    greaterThan(urgentShare(nodes, shared, 0.2) - 0.02));
        }

        private static double urgentShare(int nodes, boolean shared, double leastUrgent) {
            OverloadSimulation load = simulation(nodes, shared);
            addClass(load, 0, 0.2);
            addClass(load, 2, 0.2);
            addClass(load, 4, leastUrgent);
            load.run(END);
            return share(load, s -> s.priority < 4);
        }
    }

    @Nested
    class Accounts {
        @Tag("known-red")
        @ParameterizedTest
        @CsvSource({"1,true", "7,true", "20,true"})
        void thatAskForMoreCostTheOthersUnderTwoPoints(int nodes, boolean shared) {
            assertThat(
                    othersShare(nodes, shared, 2.5),
                    greaterThan(othersShare(nodes, shared, 1) - 0.02));
        }

        private static double othersShare(int nodes, boolean shared, double factor) {
            OverloadSimulation load = simulation(nodes, shared);
            double part = 1.1 / ACCOUNTS;
            for (int account = 1; account < ACCOUNTS; account++) {
                addAccount(load, "a" + account, 2, part);
            }
            addAccount(load, "large", 2, factor * part);
            load.run(END);
            return share(load, s -> !s.account.equals("large"));
        }
    }

    @Nested
    class LostEngines {
        @Test
        void leaveTheUrgentClassServed() {
            OverloadSimulation load = simulation(7, true);
            for (int priority : PRIORITIES) {
                addClass(load, priority, 0.25);
            }
            load.loseEngines(8, 3);
            load.run(END);
            assertThat(load.shareOfStarted(), greaterThanOrEqualTo(0.9));
        }
    }
}
