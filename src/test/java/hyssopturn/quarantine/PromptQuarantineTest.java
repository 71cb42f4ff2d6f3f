package hyssopturn.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import hyssopturn.model.InstanceId;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

class PromptQuarantineTest {
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final long MINUTE = Duration.ofMinutes(1).toNanos();

    private final PromptQuarantine quarantine = new PromptQuarantine(0);
    private int engines;

    private void crash(long nowNanos, List<String> request) {
        crashAll(nowNanos, List.of(request));
    }

    private void crash(long nowNanos, List<String> request, List<String> other) {
        crashAll(nowNanos, List.of(request, other));
    }

    private void crashAll(long nowNanos, List<List<String>> requests) {
        EngineRun run = new EngineRun(new InstanceId("e" + engines++), 1);
        quarantine.recordCrash(new QuarantineReport.Crash(run, requests), nowNanos);
    }

    private boolean allowed(long nowNanos, String... parts) {
        return quarantine.check(List.of(parts), nowNanos).isEmpty();
    }

    @Nested
    class AnOutageOfAllEngines {
        private static final int ENGINES = 20;

        @Test
        void isOverForAPartThatBeganBeforeItAfterTheFirstQuarantine() {
            quarantine.recordBegin(List.of("class"), 0);
            long last = 0;
            for (int i = 0; i < ENGINES; i++) {
                last = 10 * SECOND + i * SECOND / 4;
                crash(last, List.of("class", "part" + i));
            }
            long end = last + PromptQuarantine.FIRST_QUARANTINE.toNanos();
            assertThat(allowed(end, "class"), is(true));
        }
    }

    @Nested
    class APartThatCrashesEngines {
        @Test
        void isRefusedAfterTwoCrashes() {
            crash(SECOND, List.of("bad"));
            assertThat(allowed(SECOND, "bad"), is(true));
            crash(2 * SECOND, List.of("bad"));
            assertThat(allowed(2 * SECOND, "bad"), is(false));
        }

        @Test
        void isRefusedAfterFiveCrashesThoughItWasSoundBefore() {
            quarantine.recordBegin(List.of("bad"), SECOND);
            for (int i = 0; i < PromptQuarantine.MIN_CRASHES_IF_KNOWN; i++) {
                assertThat(allowed((10 + i) * SECOND, "bad"), is(true));
                crash((10 + i) * SECOND, List.of("bad"));
            }
            assertThat(allowed(15 * SECOND, "bad"), is(false));
        }

        @Test
        void isRefusedAsIsASecondOne() {
            for (int i = 0; i < 4; i++) {
                crash(i * SECOND, List.of(i % 2 == 0 ? "bad1" : "bad2"));
            }
            assertThat(allowed(4 * SECOND, "bad1", "x"), is(false));
            assertThat(allowed(4 * SECOND, "bad2", "y"), is(false));
        }

        @Test
        void isTriedByOneRequestAfterTheQuarantineAndThenHeldForLonger() {
            crash(0, List.of("bad"));
            crash(SECOND, List.of("bad"));
            long end = SECOND + PromptQuarantine.FIRST_QUARANTINE.toNanos();
            assertThat(allowed(end - 1, "bad"), is(false));
            assertThat(allowed(end, "bad"), is(true));
            assertThat(allowed(end, "bad"), is(false));
            crash(end, List.of("bad"));
            assertThat(
                    quarantine.check(List.of("bad"), end).orElseThrow(),
                    greaterThan(PromptQuarantine.FIRST_QUARANTINE));
        }

        @Test
        void reachesFewEnginesInAnHourAfterTheFifthCrash() {
            int sent = 0;
            for (long now = 0; now < 60 * MINUTE; now += SECOND) {
                if (allowed(now, "bad")) {
                    sent++;
                    crash(now, List.of("bad"));
                }
            }
            assertThat(sent, lessThanOrEqualTo(5 + 3));
        }

        @Test
        void isForgottenAnHourAfterTheLastCrash() {
            crash(0, List.of("bad"));
            crash(SECOND, List.of("bad"));
            long later = 2 * SECOND + PromptQuarantine.MEMORY.toNanos();
            assertThat(allowed(later, "bad"), is(true));
            assertThat(quarantine.size(), equalTo(0));
        }

        @Test
        void isReleasedWhenARequestBegins() {
            crash(0, List.of("bad"));
            crash(SECOND, List.of("bad"));
            assertThat(quarantine.recordBegin(List.of("bad"), SECOND), equalTo(List.of("bad")));
            assertThat(allowed(SECOND, "bad"), is(true));
        }
    }

    @Nested
    class ASoundPart {
        @Test
        void isNotBlamedIfManyEnginesCrashAtOnce() {
            for (int i = 0; i < 20; i++) {
                crash(SECOND + i, List.of("sound"));
            }
            assertThat(allowed(SECOND + 20, "sound"), is(true));
        }

        @Test
        void isNotBlamedIfFewOfTheCrashesMetIt() {
            crash(0, List.of("sound"));
            for (int i = 1; i < 10; i++) {
                crash(i * SECOND, List.of("other" + i));
            }
            crash(10 * SECOND, List.of("sound"));
            assertThat(allowed(10 * SECOND, "sound"), is(true));
        }

        @Test
        void isNotRefusedBecauseItStoodBesideTheBadOne() {
            crash(0, List.of("sound", "bad"));
            crash(SECOND, List.of("sound", "bad"));
            assertThat(allowed(2 * SECOND, "sound", "bad"), is(false));
            assertThat(allowed(2 * SECOND, "sound", "fine"), is(true));
        }

        @Test
        void isNotRefusedIfABadOneExplainsItsCrashes() {
            crash(0, List.of("sound"), List.of("bad"));
            crash(SECOND, List.of("sound"), List.of("bad"));
            crash(2 * SECOND, List.of("bad"));
            assertThat(allowed(2 * SECOND, "bad"), is(false));
            assertThat(allowed(2 * SECOND, "sound"), is(true));
        }

        @Test
        void isNoSuspectIfARequestWithItHasJustBegun() {
            quarantine.recordBegin(List.of("sound"), SECOND);
            assertThat(
                    quarantine.suspected(List.of("sound", "bad"), 2 * SECOND), is(List.of("bad")));
            crash(2 * SECOND, List.of("sound"));
            assertThat(quarantine.size(), equalTo(0));
        }

        @Test
        void isReleasedIfAnotherNodeKnowsIt() {
            crash(0, List.of("sound"));
            crash(SECOND, List.of("sound"));
            assertThat(allowed(SECOND, "sound"), is(false));
            quarantine.recordKnown(List.of("sound"), 2 * SECOND);
            assertThat(allowed(2 * SECOND, "sound"), is(true));
            crash(10 * SECOND, List.of("sound"));
            assertThat(allowed(10 * SECOND, "sound"), is(true));
        }

        @Test
        void isNotBlamedForACrashThatSeveralNodesReport() {
            EngineRun run = new EngineRun(new InstanceId("e"), 1);
            for (int i = 0; i < 10; i++) {
                quarantine.recordCrash(
                        new QuarantineReport.Crash(run, List.of(List.of("sound"))), i * SECOND);
            }
            assertThat(allowed(10 * SECOND, "sound"), is(true));
        }
    }

    @Test
    void memoryStaysBoundedAndKeepsWhatIsBlamed() {
        crash(0, List.of("bad"));
        crash(SECOND, List.of("bad"));
        for (int i = 0; i < 10_000; i++) {
            crash(2 * SECOND + i, List.of("p" + i));
            quarantine.recordBegin(List.of("q" + i), 2 * SECOND + i);
        }
        assertThat(quarantine.size(), lessThanOrEqualTo(512));
        assertThat(allowed(3 * SECOND, "bad"), is(false));
    }

    /**
     * Requests with a shared first part, a frequent or a rare second one, and at times a bad one.
     */
    @Property(seed = "28", tries = 200)
    void aBadPartIsBlamedAfterFewCrashesAndNoSoundOneIsRefused(
            @ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int kinds) {
        SplittableRandom random = new SplittableRandom(seed);
        PromptQuarantine decisions = new PromptQuarantine(0);
        int crashes = 0;
        List<String> wronglyRefused = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            long now = i * SECOND / 20;
            String second = "kind" + (int) (kinds * Math.pow(random.nextDouble(), 2));
            boolean bad = i > 100 && random.nextInt(20) == 0;
            List<String> parts = bad ? List.of("all", second, "bad") : List.of("all", second);
            if (decisions.check(parts, now).isPresent()) {
                if (!bad) {
                    wronglyRefused.add(second);
                }
            } else if (bad) {
                EngineRun run = new EngineRun(new InstanceId("e" + crashes++), 1);
                List<String> waiting = List.of("all", "kind" + random.nextInt(kinds));
                decisions.recordCrash(
                        new QuarantineReport.Crash(run, List.of(parts, waiting)), now);
            } else {
                decisions.recordBegin(parts, now);
            }
        }
        assertThat(crashes, lessThanOrEqualTo(5));
        assertThat(wronglyRefused, empty());
    }
}
