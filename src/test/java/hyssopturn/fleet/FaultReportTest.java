package hyssopturn.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import org.junit.jupiter.api.Test;

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
}
