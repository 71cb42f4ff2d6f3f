package hyssopturn.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import hyssopturn.fleet.Endpoint;
import hyssopturn.fleet.Evidence;
import hyssopturn.fleet.FaultReport;
import hyssopturn.fleet.Roster;
import hyssopturn.fleet.TestEndpoints;
import hyssopturn.model.Bytes;
import hyssopturn.port.KeyedLog;
import hyssopturn.standin.VirtualClock;
import hyssopturn.trace.TraceLog;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.io.OutputStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

class FaultReporterTest {
    private static final int NODES = 73;

    /** Time until an appended record has reached every node. */
    private static final Duration LOG_DELAY = Duration.ofMillis(10);

    private static final Endpoint ENGINE = TestEndpoints.engine("e1");

    private final VirtualClock clock = new VirtualClock(0);
    private final TraceLog trace = new TraceLog("n", clock, OutputStream.nullOutputStream(), 1_000);
    private final List<FaultReporter> reporters = new ArrayList<>();
    private final SharedLog log =
            new SharedLog(clock, LOG_DELAY, page -> reporters.forEach(r -> r.records(page)));

    @AfterEach
    void close() {
        trace.close();
    }

    @Test
    void aFaultThatAllNodesDetectAtOnceIsReportedByFewOfThem() {
        for (int i = 0; i < NODES; i++) {
            reporters.add(
                    new FaultReporter(
                            log, new Roster(), clock, trace, "n" + i, new SplittableRandom(i)));
        }
        reporters.forEach(r -> r.accept(ENGINE));
        clock.advance(Duration.ofSeconds(1));
        assertThat(log.appends(), greaterThan(0));
        assertThat(log.appends(), lessThan(NODES / 4));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "null",
                "[]",
                "{\"incarnation\":\"x\"}",
                "{\"incarnation\":1.5}",
                "{\"incarnation\":99999999999999999999}",
                "{\"incarnation\":1,\"reporter\":{}}",
                "{\"incarnation\":1,\"reporter\":\"\\ud800\"}",
                "{\"incarnation\":1"
            })
    void oneOddReportDoesNotKeepTheOthersFromBeingApplied(String odd) {
        assertReportsAreAppliedBeside("e2", Bytes.utf8(odd));
        assertReportsAreAppliedBeside(" ", Bytes.utf8(odd));
    }

    @Test
    void aReportThatIsNestedDeeplyDoesNotKeepTheOthersFromBeingApplied() {
        assertReportsAreAppliedBeside("e2", Bytes.utf8("[".repeat(100_000)));
        assertReportsAreAppliedBeside("e2", Bytes.utf8("{\"incarnation\":".repeat(100_000)));
    }

    @Test
    void reportsWithAlteredBytesDoNotKeepTheOthersFromBeingApplied() {
        SplittableRandom random = new SplittableRandom(28);
        for (int i = 0; i < 2_000; i++) {
            byte[] bytes = new FaultReport(ENGINE.id(), 17, "n2").encode().toArray();
            for (int change = random.nextInt(1, 4); change > 0; change--) {
                bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
            }
            assertReportsAreAppliedBeside("e2", Bytes.wrap(bytes));
        }
    }

    private void assertReportsAreAppliedBeside(String key, Bytes odd) {
        Roster roster = new Roster();
        roster.announce(ENGINE, 0);
        FaultReporter reporter =
                new FaultReporter(log, roster, clock, trace, "n", new SplittableRandom(1));
        Bytes sound = new FaultReport(ENGINE.id(), ENGINE.incarnation(), "n2").encode();
        reporter.records(
                new KeyedLog.Page(
                        List.of(
                                new KeyedLog.Entry(key, Optional.of(odd), 1),
                                new KeyedLog.Entry(ENGINE.id().value(), Optional.of(sound), 2)),
                        3));
        // a second report of the same fault changes nothing
        boolean news = roster.suspect(ENGINE.id(), ENGINE.incarnation(), Evidence.REPORT, 0);
        assertThat(news, is(false));
    }
}
