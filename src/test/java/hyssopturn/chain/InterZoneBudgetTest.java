package hyssopturn.chain;

import static hyssopturn.chain.Engines.SPEC;
import static hyssopturn.chain.InterZoneBudget.Use.BEGUN;
import static hyssopturn.chain.InterZoneBudget.Use.NEW;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.ArrayList;
import java.util.List;

class InterZoneBudgetTest {
    private static final long PROMPT = 760;
    private static final long MILLI_NANOS = 1_000_000;
    private static final int STREAMS_PER_SECOND = 2_400;

    private static final int SECONDS = 60;
    private static final ZoneLink LINK = ZoneLink.between("z0", "z1");
    private static final double TRANSFER = InterZoneBudget.transferMillis(PROMPT, SPEC);

    private static List<InterZoneBudget> budgets(int nodes) {
        List<InterZoneBudget> budgets = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            budgets.add(new InterZoneBudget(nodes));
        }
        return budgets;
    }

    /** Lets all nodes request reroutes over a link and back, and returns the link time in use. */
    private static double play(List<InterZoneBudget> budgets, List<ZoneLink> links) {
        double used = 0;
        for (int second = 0; second < SECONDS; second++) {
            for (int stream = 0; stream < STREAMS_PER_SECOND; stream++) {
                long now = second * 1_000L * MILLI_NANOS;
                InterZoneBudget budget = budgets.get(stream % budgets.size());
                ZoneLink link = links.get(stream / budgets.size() % links.size());
                if (budget.tryAcquire(List.of(link, link), PROMPT, SPEC, NEW, now)) {
                    used += 2 * TRANSFER;
                }
            }
        }
        return used;
    }

    /**
     * Guards the links between zones against overload when all streams of a failed engine request a
     * reroute at the same moment.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 7, 73, 95, 400})
    void reroutesOfAllNodesTogetherStayWithinTheTimeOfALink(int nodes) {
        double used = play(budgets(nodes), List.of(LINK));
        double limit = (SECONDS + 5) * 1_000 + nodes * 2 * TRANSFER;
        assertThat(used, is(both(greaterThan(0.0)).and(lessThanOrEqualTo(limit))));
    }

    /** With several zones, all links together carry as many times more than one of them. */
    @ParameterizedTest
    @ValueSource(ints = {7, 73, 95, 400})
    void allLinksCanBeUsedAtTheSameTime(int nodes) {
        List<ZoneLink> links =
                List.of(LINK, ZoneLink.between("z1", "z2"), ZoneLink.between("z2", "z0"));
        assertThat(play(budgets(nodes), links), greaterThan(2.5 * SECONDS * 1_000));
    }

    @Test
    void aJammedLinkDoesNotBlockTheOthers() {
        InterZoneBudget budget = new InterZoneBudget(400);
        empty(budget);
        ZoneLink other = ZoneLink.between("z2", "z0");
        assertThat(budget.tryAcquire(List.of(other, LINK), PROMPT, SPEC, NEW, 0), is(false));
        assertThat(budget.tryAcquire(List.of(other), PROMPT, SPEC, NEW, 0), is(true));
    }

    @Test
    void aChainWithinOneZoneNeedsNoBudget() {
        InterZoneBudget budget = new InterZoneBudget(400);
        empty(budget);
        assertThat(budget.tryAcquire(List.of(), PROMPT, SPEC, NEW, 0), is(true));
    }

    @Test
    void newRequestsLeaveLinkTimeToStreamsThatLostTheirChain() {
        InterZoneBudget budget = new InterZoneBudget(7);
        empty(budget);
        assertThat(budget.tryAcquire(List.of(LINK), PROMPT, SPEC, NEW, 0), is(false));
        assertThat(budget.tryAcquire(List.of(LINK), PROMPT, SPEC, BEGUN, 0), is(true));
    }

    @Test
    void streamsThatLostTheirChainStayWithinTheShareToo() {
        InterZoneBudget budget = new InterZoneBudget(7);
        double used = 0;
        while (budget.tryAcquire(List.of(LINK), PROMPT, SPEC, BEGUN, 0)) {
            used += TRANSFER;
        }
        assertThat(used, lessThanOrEqualTo(5 * 1_000 / 7.0 + TRANSFER));
    }

    private static void empty(InterZoneBudget budget) {
        while (budget.tryAcquire(List.of(LINK), PROMPT, SPEC, NEW, 0)) {
            // empties the bucket
        }
    }
}
