package hyssopturn.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.io.IOException;

/**
 * Report that an endpoint was unreachable for an engine that depends on it.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation
 * @param reporter node that wrote the report to the log
 */
public record FaultReport(InstanceId endpoint, long incarnation, String reporter) {
    /** Log stream that holds the reports. */
    public static final String STREAM = "hyssopturn-faults";

    private static final int MAX_NAME_LENGTH = 255;
    private static final ObjectMapper JSON = new ObjectMapper();

    private record Form(long incarnation, String reporter) {}

    /**
     * Encodes the report without the endpoint's name, which is the key of the record.
     *
     * @return the value of the report's record
     */
    public Bytes encode() {
        try {
            return Bytes.wrap(JSON.writeValueAsBytes(new Form(incarnation, reporter)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("report cannot be encoded as JSON", e);
        }
    }

    /**
     * Decodes a report.
     *
     * @param endpoint name of the endpoint
     * @param value value of the record
     * @return the report
     * @throws InvalidArgumentException if it is malformed
     */
    public static FaultReport decode(String endpoint, Bytes value) {
        try {
            JsonNode form = JSON.readTree(value.toArray());
            JsonNode incarnation = form.path("incarnation");
            if (!incarnation.isIntegralNumber() || !incarnation.canConvertToLong()) {
                throw new InvalidArgumentException("report has no incarnation");
            }
            String reporter = form.path("reporter").asText();
            if (reporter.length() > MAX_NAME_LENGTH) {
                throw new InvalidArgumentException("reporter is too long");
            }
            return new FaultReport(new InstanceId(endpoint), incarnation.asLong(), reporter);
        } catch (IOException e) {
            throw new InvalidArgumentException("report is not JSON: " + e.getMessage());
        }
    }
}
