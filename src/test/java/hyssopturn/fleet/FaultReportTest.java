package hyssopturn.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FaultReportTest {
    @Test
    void isUnchangedByEncodingAndDecoding() {
        FaultReport report = new FaultReport(new InstanceId("e1"), 7, "n1");
        assertThat(FaultReport.decode("e1", report.encode()), equalTo(report));
    }

    @Test
    void thatIsMalformedIsRejected() {
        assertThrows(
                InvalidArgumentException.class, () -> FaultReport.decode("e1", Bytes.utf8("{}")));
        assertThrows(
                InvalidArgumentException.class, () -> FaultReport.decode("e1", Bytes.utf8("x")));
    }

    @ParameterizedTest
    @ValueSource(strings = {"18446744073709551633", "-18446744073709551599", "1e30"})
    void doesNotNameAnotherIncarnationIfTheNumberIsTooLarge(String incarnation) {
        assertRejected("{\"incarnation\":%s,\"reporter\":\"n1\"}".formatted(incarnation));
    }

    @Test
    void withAVeryLongReporterIsRejected() {
        assertRejected("{\"incarnation\":17,\"reporter\":\"%s\"}".formatted("n".repeat(200_000)));
    }

    private static void assertRejected(String report) {
        assertThrows(
                InvalidArgumentException.class, () -> FaultReport.decode("e1", Bytes.utf8(report)));
    }
}
