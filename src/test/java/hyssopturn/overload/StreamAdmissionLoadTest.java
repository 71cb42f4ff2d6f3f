package hyssopturn.overload;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Plays load in virtual time and checks what clients get. */
class StreamAdmissionLoadTest {
    static final double CAPACITY = 100_000;
    static final double TOKENS = 1_000;

    /** Streams in a second whose tokens fill the memory: they hold it for 2.6 s on average. */
    static final double FULL_RATE = CAPACITY / TOKENS / 2.6;

    static OverloadSimulation simulation(int nodes, boolean shared, boolean controlled) {
        return new OverloadSimulation(nodes, CAPACITY, shared, controlled, 7);
    }

    /** Three classes; eight accounts in each. */
    static void addClients(OverloadSimulation load, double part, double from, double until) {
        for (int priority = 0; priority < 3; priority++) {
            for (int account = 0; account < 8; account++) {
                load.add(
                        new OverloadSimulation.Clients(
                                "a" + priority + account,
                                priority * 2,
                                part * FULL_RATE / 24,
                                TOKENS,
                                from,
                                until));
            }
        }
    }

    static void print(String what, OverloadSimulation load, double from, double until) {
        StringBuilder line = new StringBuilder(what);
        line.append(String.format(" all %.2f", load.share(s -> OverloadSimulation.within(s, from, until))));
        line.append(String.format(" bound %.2f", load.bound(CAPACITY, from, until)));
        line.append(String.format(" started %.2f", load.shareOfStarted()));
        for (int p = 0; p < 6; p += 2) {
            int priority = p;
            line.append(String.format(" p%d %.2f", p, load.share(s -> s.priority == priority && OverloadSimulation.within(s, from, until))));
        }
        line.append(String.format(" large %.2f", load.share(s -> s.tokens > 2 * TOKENS && OverloadSimulation.within(s, from, until))));
        line.append(String.format(" worst2 %.2f", load.worstTwoSeconds((int) from, (int) until)));
        System.out.println(line);
    }

    @Test
    void figures() {
        for (int nodes : new int[] {1, 7, 20}) {
            for (double part : new double[] {0.7, 1.5, 3}) {
                OverloadSimulation none = simulation(nodes, false, false);
                addClients(none, part, 0, 20);
                none.run(25);
                print(nodes + " x" + part + " none  ", none, 2, 20);
                for (boolean shared : new boolean[] {false, true}) {
                    OverloadSimulation load = simulation(nodes, shared, true);
                    addClients(load, part, 0, 20);
                    load.run(25);
                    print(nodes + " x" + part + (shared ? " shared" : " own   "), load, 2, 20);
                }
            }
        }
    }
}
