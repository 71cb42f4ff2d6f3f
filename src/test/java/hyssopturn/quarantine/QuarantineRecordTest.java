package hyssopturn.quarantine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

class QuarantineRecordTest {
    private static final int MANY = 10_000;
    private static final int MAX_KEYS = 64;
    private static final int MAX_BYTES = 40_000;

    private static QuarantineRecord crash(String engine, List<List<String>> requests) {
        EngineRun run = new EngineRun(new InstanceId(engine), 1_700_000_000_000L);
        return new QuarantineRecord(new QuarantineReport.Crash(run, requests), "n1", 5);
    }

    @Test
    void isDecodedAsItWasEncoded() {
        QuarantineRecord crash = crash("e1", List.of(List.of("a", "b"), List.of("c")));
        assertThat(QuarantineRecord.decode(crash.encode()), equalTo(crash));
        QuarantineRecord begun =
                new QuarantineRecord(new QuarantineReport.Begun(List.of("a")), "n1", 5);
        assertThat(QuarantineRecord.decode(begun.encode()), equalTo(begun));
        QuarantineRecord known =
                new QuarantineRecord(new QuarantineReport.Known(List.of("a")), "n1", 5);
        assertThat(QuarantineRecord.decode(known.encode()), equalTo(known));
    }

    @Test
    void usesFewKeysHoweverManyEnginesCrash() {
        Set<String> keys = new HashSet<>();
        for (int i = 0; i < MANY; i++) {
            String key = crash("e" + i, List.of()).key();
            assertThat(key, startsWith(QuarantineRecord.KEY_PREFIX));
            keys.add(key);
        }
        assertThat(keys.size(), lessThanOrEqualTo(MAX_KEYS));
    }

    @Test
    void isSmallHoweverManyRequestsACrashMet() {
        List<String> request = Collections.nCopies(MANY, "f".repeat(64));
        Bytes value = crash("e1", Collections.nCopies(MANY, request)).encode();
        assertThat(value.size(), lessThanOrEqualTo(MAX_BYTES));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "no json",
                "[]",
                "7",
                "{}",
                "{\"begun\":7}",
                "{\"engine\":7,\"incarnation\":1}",
                "{\"engine\":\"e\",\"incarnation\":\"x\"}",
                "{\"engine\":\"\",\"incarnation\":1}",
                "{\"engine\":\"e\",\"incarnation\":1e400}",
                "{\"engine\":\"e\",\"incarnation\":99999999999999999999}"
            })
    void thatIsMalformedIsRejected(String text) {
        assertThrows(
                InvalidArgumentException.class, () -> QuarantineRecord.decode(Bytes.utf8(text)));
    }

    @Test
    void thatIsDeeplyNestedIsRejected() {
        String nested = "{\"begun\":" + "[".repeat(MANY);
        assertThrows(
                InvalidArgumentException.class, () -> QuarantineRecord.decode(Bytes.utf8(nested)));
    }

    @Test
    void leavesOutPartsThatAreNoIds() {
        QuarantineRecord read =
                QuarantineRecord.decode(Bytes.utf8("{\"begun\":[7,\"\",null,[\"x\"],\"a\"]}"));
        assertThat(read.report(), equalTo(new QuarantineReport.Begun(List.of("a"))));
    }
}
