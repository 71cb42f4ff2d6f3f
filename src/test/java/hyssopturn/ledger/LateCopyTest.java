package hyssopturn.ledger;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;

/** Runs that fuzzing has found: records that land after their successors were dropped. */
class LateCopyTest {
    private static Step pass(int seconds) {
        return new Step.Pass(Duration.ofSeconds(seconds));
    }

    @Test
    void aLateCopyOfAReleasedClaimIsNoNewClaim() {
        AtMostOnceFuzzTest.run(
                List.of(
                        new Step.Pause(0),
                        pass(1),
                        new Step.LandLate(2, Duration.ofSeconds(39)),
                        new Step.Call(2, 3, 0),
                        new Step.ServiceDraining(true),
                        pass(16),
                        pass(6),
                        pass(43)),
                Flaw.NONE);
    }

    @Test
    void aReleaseThatItsAuthorCannotJudgeFreesTheKeyThereToo() {
        AtMostOnceFuzzTest.run(
                List.of(
                        pass(1),
                        new Step.Call(1, 2, 0),
                        pass(1),
                        new Step.Call(0, 5, 0),
                        new Step.Latency(Duration.ofMillis(5)),
                        new Step.LoseAppendAnswers(2),
                        new Step.Pause(0),
                        pass(5),
                        new Step.LogDown(true),
                        new Step.Call(2, 3, 0),
                        pass(48),
                        pass(38)),
                Flaw.NONE);
    }
}
