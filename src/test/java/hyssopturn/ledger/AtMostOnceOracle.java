package hyssopturn.ledger;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import hyssopturn.ledger.LedgerWorld.Asked;
import hyssopturn.model.Bytes;
import hyssopturn.model.Outcome;
import hyssopturn.model.Reason;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** Holds what callers were told against what the services saw; knows nothing of the ledger. */
final class AtMostOnceOracle {
    private AtMostOnceOracle() {}

    static void check(LedgerWorld world) {
        List<String> keys = world.seenKeys();
        List<String> requests = world.seenRequests();
        for (String key : keys) {
            assertThat(key + " seen", Collections.frequency(keys, key), lessThanOrEqualTo(1));
        }
        Map<String, Bytes> answers = new HashMap<>();
        for (Asked asked : world.asked) {
            if (asked.ended(Outcome.NOT_RUN)) {
                assertThat("not-run, yet seen", requests, not(hasItem(asked.request)));
            }
            if (asked.ended(Outcome.DONE)) {
                assertThat("done " + asked.key, Collections.frequency(keys, asked.key), is(1));
                Bytes first = answers.computeIfAbsent(asked.key, k -> asked.body.orElseThrow());
                assertThat("answer to " + asked.key, asked.body.orElseThrow(), is(first));
            }
        }
    }

    /** After all faults have ended: no key stays in doubt without a cause. */
    static void checkHealed(LedgerWorld world) {
        int node = world.readyNode().orElse(-1);
        if (node < 0) {
            return;
        }
        Set<String> clear = new TreeSet<>();
        world.asked.forEach(a -> clear.add(a.key));
        world.asked.stream().filter(a -> !certain(a)).forEach(a -> clear.remove(a.key));
        for (String key : clear) {
            Asked again = repeat(world, node, key, "b0");
            if (again.end.filter(e -> e.reason() == Reason.KEY_CONFLICT).isPresent()) {
                again = repeat(world, node, key, "b1");
            }
            assertThat(key + " again: " + again.end, again.ended(Outcome.DONE), is(true));
        }
        check(world);
    }

    private static Asked repeat(LedgerWorld world, int node, String key, String body) {
        Asked again = world.call(node, key, body);
        world.pass(LedgerWorld.LIMIT.multipliedBy(2));
        return again;
    }

    /** A node that lived on and told a definite end leaves nothing in doubt. */
    private static boolean certain(Asked asked) {
        return asked.node.alive()
                && asked.node.ledger.ready()
                && (asked.ended(Outcome.DONE) || asked.ended(Outcome.NOT_RUN));
    }
}
