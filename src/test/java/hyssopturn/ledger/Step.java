package hyssopturn.ledger;

import java.time.Duration;

/** One step of a random run. */
sealed interface Step {
    record Call(int node, int key, int body) implements Step {}

    record Pass(Duration span) implements Step {}

    record Kill(int node) implements Step {}

    record Pause(int node) implements Step {}

    record PauseAtSend(int node) implements Step {}

    record Resume(int node) implements Step {}

    record LogDown(boolean down) implements Step {}

    record LoseAppendAnswers(int count) implements Step {}

    record LandLate(int node, Duration by) implements Step {}

    record LoseReads(int count) implements Step {}

    record Latency(Duration span) implements Step {}

    record LoseServiceAnswer() implements Step {}

    record ServiceDraining(boolean draining) implements Step {}

    record TruncateHard(int keep) implements Step {}
}
