package hyssopturn.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.io.IOException;

/**
 * Says that an endpoint was found unreachable by an engine that depends on it.
 *
 * @param endpoint the endpoint
 * @param incarnation its incarnation
 * @param reporter node that passes it on
 */
public record FaultReport(InstanceId endpoint, long incarnation, String reporter) {
    /** Stream of the log that reports are kept in. */
    public static final String STREAM = "hyssopturn-faults";

    private static final ObjectMapper JSON = new ObjectMapper();

    private record Form(long incarnation, String reporter) {}

    /**
     * Encodes what stands beside the endpoint's name.
     *
     * @return the value of the report's record
     */
    public Bytes encode() {
        try {
            return Bytes.wrap(JSON.writeValueAsBytes(new Form(incarnation, reporter)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("report has no JSON form", e);
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
            if (!form.path("incarnation").isIntegralNumber()) {
                throw new InvalidArgumentException("report names no incarnation");
            }
            return new FaultReport(
                    new InstanceId(endpoint),
                    form.path("incarnation").asLong(),
                    form.path("reporter").asText());
        } catch (IOException e) {
            throw new InvalidArgumentException("report is no JSON: " + e.getMessage());
        }
    }
}
