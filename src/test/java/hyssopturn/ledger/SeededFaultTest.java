package hyssopturn.ledger;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import net.jqwik.api.Example;
import net.jqwik.api.RandomGenerator;

import java.util.List;
import java.util.Random;

/** Shows that the oracle of {@link AtMostOnceFuzzTest} notices each fault that it is meant for. */
class SeededFaultTest {
    private static final int RUNS = 400;
    private static final long SEED = 7;

    @Example
    void timerTakeoverIsCaught() {
        assertThat(caught(Flaw.TIMER_TAKEOVER), is(true));
    }

    @Example
    void forgottenReleaseIsCaught() {
        assertThat(caught(Flaw.RELEASE_FORGOTTEN), is(true));
    }

    @Example
    void sendingAgainIsCaught() {
        assertThat(caught(Flaw.SENT_AGAIN), is(true));
    }

    @Example
    void ignoredRetentionIsCaught() {
        assertThat(caught(Flaw.RETENTION_IGNORED), is(true));
    }

    @Example
    void notRunAfterALostAppendAnswerIsCaught() {
        assertThat(caught(Flaw.LOST_APPEND_REFUSED), is(true));
    }

    @Example
    void notRunAfterALostCallAnswerIsCaught() {
        assertThat(caught(Flaw.LOST_CALL_REFUSED), is(true));
    }

    @Example
    void sendingWithoutAConfirmedClaimIsCaught() {
        assertThat(caught(Flaw.UNCONFIRMED_SENT), is(true));
    }

    private static boolean caught(Flaw flaw) {
        RandomGenerator<List<Step>> generator = AtMostOnceFuzzTest.scripts().generator(RUNS);
        Random random = new Random(SEED);
        for (int i = 0; i < RUNS; i++) {
            List<Step> steps = generator.next(random).value();
            if (fails(steps, flaw)) {
                assertThat("fails without the fault too", fails(steps, Flaw.NONE), is(false));
                return true;
            }
        }
        return false;
    }

    private static boolean fails(List<Step> steps, Flaw flaw) {
        try {
            AtMostOnceFuzzTest.run(steps, flaw);
            return false;
        } catch (AssertionError expected) {
            return true;
        }
    }
}
