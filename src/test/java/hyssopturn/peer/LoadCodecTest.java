package hyssopturn.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.load.EngineTokens;
import hyssopturn.load.LoadMessage;
import hyssopturn.load.LoadScope;
import hyssopturn.load.MeasuredLoad;
import hyssopturn.load.PriorityLoad;
import hyssopturn.peer.generated.LoadDatagram;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

class LoadCodecTest {
    private static final LoadScope SCOPE = new LoadScope("s".repeat(200), "z".repeat(56));
    private static final List<PriorityLoad> PRIORITIES =
            IntStream.range(0, 10).mapToObj(p -> new PriorityLoad(p, 1.5, 0.5, 3, 0.25)).toList();

    private static EngineTokens engines(int count) {
        int[] hashes = IntStream.range(0, count).map(i -> i * 60_000 + 7).toArray();
        return EngineTokens.of(
                hashes, IntStream.range(0, count).mapToLong(i -> 1_000L * i).toArray());
    }

    private static LoadMessage.Report report(EngineTokens engines) {
        return new LoadMessage.Report(
                SCOPE,
                1_700_000_000_000L,
                99,
                true,
                17,
                new MeasuredLoad(engines, 1_024, 512, PRIORITIES),
                LoadMessage.Fragment.WHOLE);
    }

    private static LoadMessage.Sum sum(EngineTokens engines) {
        return new LoadMessage.Sum(
                SCOPE,
                1_700_000_000_000L,
                99,
                98,
                400,
                Duration.ofMillis(750),
                true,
                17,
                new MeasuredLoad(engines, 1_024, 512, PRIORITIES),
                LoadMessage.Fragment.WHOLE);
    }

    private static LoadMessage only(LoadMessage message) {
        List<byte[]> datagrams = LoadCodec.encode(message);
        assertThat(datagrams.size(), equalTo(1));
        return LoadCodec.decode(datagrams.getFirst());
    }

    @Test
    void messagesComeBackAsTheyWere() {
        assertThat(only(report(engines(50))), equalTo(report(engines(50))));
        assertThat(only(sum(engines(50))), equalTo(sum(engines(50))));
        EngineTokens unnamed = EngineTokens.unnamed(new long[] {0, 5, 7});
        assertThat(only(sum(unnamed)), equalTo(sum(unnamed)));
        assertThat(only(sum(EngineTokens.NONE)), equalTo(sum(EngineTokens.NONE)));
    }

    /** The platform drops datagrams of 1,400 bytes and more. */
    @Test
    void longMessagesAreSplitIntoDatagramsThatFit() {
        List<byte[]> datagrams = LoadCodec.encode(sum(engines(1_000)));
        assertThat(datagrams.size(), greaterThan(3));
        int found = 0;
        for (int i = 0; i < datagrams.size(); i++) {
            assertThat(datagrams.get(i).length, lessThanOrEqualTo(LoadCodec.MAX_BYTES));
            LoadMessage part = LoadCodec.decode(datagrams.get(i));
            assertThat(part.fragment(), equalTo(new LoadMessage.Fragment(i, datagrams.size())));
            assertThat(part.load().engines().hash(0), equalTo(found * 60_000 + 7));
            found += part.load().engines().size();
        }
        assertThat(found, equalTo(1_000));
    }

    @Test
    void implausibleMessagesAreRefused() {
        LoadDatagram valid = valid();
        for (LoadDatagram.Builder wrong :
                List.of(
                        valid.toBuilder().setFragment(3),
                        valid.toBuilder().setFragments(1_000_000),
                        valid.toBuilder().setSequence(-1),
                        valid.toBuilder().setService(""),
                        valid.toBuilder().setZone("z".repeat(1_000)),
                        valid.toBuilder().addEngineSteps(5),
                        valid.toBuilder().addEngineSteps(0).addEngineUnits(4),
                        valid.toBuilder().addEngineSteps(-5).addEngineUnits(4),
                        valid.toBuilder().addEngineSteps(1).addEngineUnits(-4),
                        valid.toBuilder().addEngineSteps(1).addEngineUnits(Long.MAX_VALUE),
                        valid.toBuilder().setStartedTokens(Float.NaN),
                        valid.toBuilder().setEndedTokens(Float.POSITIVE_INFINITY),
                        valid.toBuilder().setKindValue(7))) {
            assertThrows(
                    InvalidArgumentException.class,
                    () -> LoadCodec.decode(wrong.build().toByteArray()),
                    wrong::toString);
        }
    }

    private static LoadDatagram valid() {
        return LoadDatagram.newBuilder()
                .setService("s")
                .setZone("z")
                .setSequence(1)
                .setFragments(1)
                .addEngineSteps(9)
                .addEngineUnits(1)
                .build();
    }

    /** Whatever a datagram holds, nothing but the refusal of a message may come of it. */
    @Test
    void damagedMessagesAreDecodedOrRefused() {
        SplittableRandom random = new SplittableRandom(5);
        byte[] sound = LoadCodec.encode(sum(engines(20))).getFirst();
        int refused = 0;
        for (int round = 0; round < 5_000; round++) {
            byte[] damaged = sound.clone();
            for (int i = 0; i < 1 + round % 4; i++) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            }
            try {
                LoadCodec.decode(damaged);
            } catch (InvalidArgumentException e) {
                refused++;
            }
        }
        assertThat(refused, greaterThan(0));
    }
}
