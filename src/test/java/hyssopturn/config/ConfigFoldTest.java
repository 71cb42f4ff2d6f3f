package hyssopturn.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import hyssopturn.config.ConfigRecord.Publication;
import hyssopturn.config.ConfigRecord.Snapshot;
import hyssopturn.model.Bytes;
import hyssopturn.port.LogPage;
import hyssopturn.standin.MemoryLog;
import hyssopturn.standin.VirtualClock;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.OptionalLong;

class ConfigFoldTest {
    private final Seal seal = new Seal("secret");
    private final ConfigFold fold = new ConfigFold(seal);
    private FoldState state = FoldState.INITIAL;

    private Verdict apply(long offset, Bytes data) {
        ConfigFold.Step step = fold.apply(state, new LogPage.Entry(offset, data));
        state = step.state();
        return step.verdict();
    }

    private Verdict publish(long offset, String name, long base) {
        return apply(offset, new Publication(name, base, Documents.valid(1)).encode());
    }

    @Nested
    class Race {
        @Test
        void firstWinsAndLoserIsToldTheWinner() {
            assertThat(publish(1, "ana", 0), is(new Verdict.Accepted(1)));
            assertThat(publish(2, "luis", 0), is(new Verdict.Superseded(0, 1, "ana")));
            assertThat(state.version(), is(1L));
        }

        @Test
        void repeatedRecordOfTheWinnerIsNoRejection() {
            publish(1, "ana", 0);
            assertThat(publish(2, "ana", 0), is(new Verdict.Repeated(1)));
        }

        @Test
        void invalidDocumentIsRefusedAgain() {
            Bytes data = new Publication("ana", 0, Documents.invalid()).encode();
            assertThat(apply(1, data), instanceOf(Verdict.Invalid.class));
            assertThat(publish(2, "luis", 0), is(new Verdict.Accepted(2)));
        }
    }

    @Nested
    class Garbage {
        @Test
        void isSkippedByCause() {
            Bytes huge = Bytes.wrap(new byte[ConfigRecord.MAX_BYTES + 1]);
            assertThat(apply(1, huge), is(new Verdict.Skipped(Verdict.Cause.OVERSIZED)));
            for (String text : new String[] {"", "{", "[]", "{\"publication\":1}", "\u0000"}) {
                long offset = state.through() + 1;
                assertThat(
                        apply(offset, Bytes.utf8(text)),
                        is(new Verdict.Skipped(Verdict.Cause.MALFORMED)));
            }
            assertThat(state.settled(), is(true));
        }

        @Test
        void snapshotWithForeignSealEntersNowhere() {
            AcceptedDocument forged = new Seal("other").sealed(9, "mallory", Documents.valid(9));
            assertThat(
                    apply(10, new Snapshot(forged, 9).encode()),
                    is(new Verdict.Skipped(Verdict.Cause.UNPROVEN)));
            ConfigController node =
                    new ConfigController(
                            new MemoryLog(new VirtualClock(0)),
                            new VirtualClock(0),
                            seal,
                            new SimpleMeterRegistry());
            assertThat(node.offer(forged), is(false));
            assertThat(node.accepted().isEmpty(), is(true));
        }

        @Test
        void changedDocumentLosesItsSeal() {
            AcceptedDocument good = seal.sealed(9, "ana", Documents.valid(9));
            AcceptedDocument changed =
                    new AcceptedDocument(9, "ana", Documents.valid(8), good.seal());
            assertThat(fold.checked(good).isPresent(), is(true));
            assertThat(fold.checked(changed).isPresent(), is(false));
            assertThat(AcceptedDocument.decode(good.encode()).orElseThrow(), is(good));
        }
    }

    @Nested
    class LostStart {
        @Test
        void nothingIsJudgedUntilASnapshotSettlesIt() {
            state = fold.open(state, 50);
            assertThat(publish(50, "luis", 0), is(new Verdict.Undetermined()));
            AcceptedDocument accepted = seal.sealed(7, "ana", Documents.valid(7));
            apply(51, new Snapshot(accepted, 50).encode());
            assertThat(state.settled(), is(true));
            assertThat(publish(52, "eva", 7), is(new Verdict.Accepted(52)));
        }

        @Test
        void overtakenSnapshotSettlesNothing() {
            state = fold.open(state, 50);
            publish(50, "luis", 7);
            AcceptedDocument accepted = seal.sealed(7, "ana", Documents.valid(7));
            apply(51, new Snapshot(accepted, 49).encode());
            assertThat(state.settled(), is(false));
            assertThat(state.version(), is(7L));
            assertThat(publish(52, "eva", 7), is(new Verdict.Undetermined()));
        }

        @Test
        void snapshotOfAnAuthorWhoReadLessSettlesNothing() {
            state = fold.open(state, 50);
            AcceptedDocument accepted = seal.sealed(7, "ana", Documents.valid(7));
            apply(50, new Snapshot(accepted, 48).encode());
            assertThat(state.settled(), is(false));
        }

        @Test
        void publicationOverAnyVersionSettlesEveryReader() {
            state = fold.open(state, 50);
            assertThat(publish(50, "ana", ConfigRecord.ANY_BASE), is(new Verdict.Accepted(50)));
            assertThat(state.settled(), is(true));
        }
    }

    @Nested
    class Publishing {
        private final VirtualClock clock = new VirtualClock(0);
        private final MemoryLog log = new MemoryLog(clock);

        private Published publish(OptionalLong base) {
            var fate =
                    Publisher.publish(
                            log,
                            clock,
                            seal,
                            "ana",
                            Documents.valid(1),
                            base,
                            Duration.ofSeconds(10));
            clock.advance(Duration.ofSeconds(20));
            return fate.join();
        }

        @Test
        void lostAnswerIsSettledByReading() {
            log.loseAnswers(1);
            assertThat(publish(OptionalLong.empty()), is(new Published.Accepted(1)));
        }

        @Test
        void silentLogMeansNotSent() {
            log.down(true);
            assertThat(publish(OptionalLong.empty()), instanceOf(Published.NotSent.class));
            assertThat(log.appends(), is(0L));
        }

        @Test
        void logThatFallsSilentAfterTheAppendMeansUnknown() {
            log.latency(Duration.ofMillis(10));
            var fate =
                    Publisher.publish(
                            log,
                            clock,
                            seal,
                            "ana",
                            Documents.valid(1),
                            OptionalLong.empty(),
                            Duration.ofSeconds(10));
            clock.advance(Duration.ofMillis(35));
            assertThat(log.appends(), is(1L));
            log.down(true);
            clock.advance(Duration.ofSeconds(20));
            assertThat(fate.join(), instanceOf(Published.Unknown.class));
        }

        @Test
        void logThatDroppedItsStartBeforeAnyDocumentTakesOneOverAnyVersion() {
            log.append(ConfigController.STREAM, Bytes.utf8("junk"));
            log.truncate(ConfigController.STREAM, 2);
            assertThat(publish(OptionalLong.empty()), instanceOf(Published.NotSent.class));
            assertThat(
                    publish(OptionalLong.of(ConfigRecord.ANY_BASE)), is(new Published.Accepted(2)));
        }

        @Test
        void staleBaseIsRejectedBeforeTheAppend() {
            publish(OptionalLong.empty());
            Published late = publish(OptionalLong.of(0));
            assertThat(late, is(new Published.Rejected(new Verdict.Superseded(0, 1, "ana"))));
            assertThat(log.appends(), is(1L));
        }
    }
}
