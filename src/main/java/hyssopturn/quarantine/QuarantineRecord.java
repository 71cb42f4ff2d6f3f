package hyssopturn.quarantine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * A report as it is written to the log.
 *
 * <p>The number of keys is fixed, so the stream stays small however many engines crash.
 *
 * @param report the report
 * @param node node that wrote it
 * @param wallMillis wall clock time of the report, in milliseconds since 1970
 */
public record QuarantineRecord(QuarantineReport report, String node, long wallMillis) {
    /** What the keys of these records begin with. */
    public static final String KEY_PREFIX = "prompt-part/";

    /** Maximum number of requests in a report; more are left out. */
    static final int MAX_REQUESTS = 16;

    /** Maximum number of parts of a request; more are left out. */
    static final int MAX_PARTS = 32;

    /** Maximum number of parts that are reported as sound; more are left out. */
    static final int MAX_SOUND_PARTS = 128;

    private static final int MAX_ID_LENGTH = 64;
    private static final int MAX_VALUE_BYTES = 100_000;
    private static final int SLOTS = 64;
    private static final ObjectMapper JSON = new ObjectMapper();

    private record CrashForm(
            String engine, long incarnation, List<List<String>> requests, String node, long wall) {}

    private record KnownForm(List<String> known, String node, long wall) {}

    private record BegunForm(List<String> begun, String node, long wall) {}

    /**
     * Returns the key under which the report is written.
     *
     * @return one of a fixed number of keys
     */
    public String key() {
        return switch (report) {
            case QuarantineReport.Crash c -> KEY_PREFIX + "crash-" + slot(c.run());
            case QuarantineReport.Known k -> KEY_PREFIX + "known-" + slot(k.parts());
            case QuarantineReport.Begun b -> KEY_PREFIX + "begun-" + slot(b.parts());
        };
    }

    private static int slot(Object subject) {
        return Math.floorMod(subject.hashCode(), SLOTS);
    }

    /**
     * Encodes the report.
     *
     * @return the value of its record
     */
    public Bytes encode() {
        Object form =
                switch (report) {
                    case QuarantineReport.Crash c ->
                            new CrashForm(
                                    c.run().engine().value(),
                                    c.run().incarnation(),
                                    c.requests().stream()
                                            .limit(MAX_REQUESTS)
                                            .map(parts -> limited(parts, MAX_PARTS))
                                            .toList(),
                                    node,
                                    wallMillis);
                    case QuarantineReport.Known k ->
                            new KnownForm(limited(k.parts(), MAX_SOUND_PARTS), node, wallMillis);
                    case QuarantineReport.Begun b ->
                            new BegunForm(limited(b.parts(), MAX_SOUND_PARTS), node, wallMillis);
                };
        try {
            return Bytes.wrap(JSON.writeValueAsBytes(form));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("report cannot be encoded as JSON", e);
        }
    }

    private static List<String> limited(List<String> parts, int count) {
        return parts.stream().limit(count).toList();
    }

    /**
     * Decodes a report.
     *
     * @param value value of the record
     * @return the report
     * @throws InvalidArgumentException if it is malformed
     */
    public static QuarantineRecord decode(Bytes value) {
        if (value.size() > MAX_VALUE_BYTES) {
            throw new InvalidArgumentException("report of " + value.size() + " bytes is too large");
        }
        try {
            JsonNode form = JSON.readTree(value.toArray());
            return new QuarantineRecord(
                    report(form), form.path("node").asText(), form.path("wall").asLong());
        } catch (IOException e) {
            throw new InvalidArgumentException("report is not JSON: " + e.getMessage());
        }
    }

    private static QuarantineReport report(JsonNode form) {
        if (form.path("begun").isArray()) {
            return new QuarantineReport.Begun(parts(form.path("begun"), MAX_SOUND_PARTS));
        }
        if (form.path("known").isArray()) {
            return new QuarantineReport.Known(parts(form.path("known"), MAX_SOUND_PARTS));
        }
        if (!form.path("engine").isTextual() || !form.path("incarnation").canConvertToLong()) {
            throw new InvalidArgumentException("report names neither parts nor an engine");
        }
        List<List<String>> requests = new ArrayList<>();
        for (JsonNode request : form.path("requests")) {
            if (requests.size() < MAX_REQUESTS) {
                requests.add(parts(request, MAX_PARTS));
            }
        }
        return new QuarantineReport.Crash(
                new EngineRun(
                        new InstanceId(form.path("engine").asText()),
                        form.path("incarnation").asLong()),
                requests);
    }

    private static List<String> parts(JsonNode array, int count) {
        List<String> parts = new ArrayList<>();
        for (JsonNode part : array) {
            String id = part.asText();
            if (part.isTextual() && !id.isBlank() && id.length() <= MAX_ID_LENGTH) {
                parts.add(id);
            }
            if (parts.size() == count) {
                break;
            }
        }
        return parts;
    }
}
