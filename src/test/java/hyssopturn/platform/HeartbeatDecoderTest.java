package hyssopturn.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.fleet.Endpoint;
import hyssopturn.model.Bytes;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.junit.jupiter.api.Test;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Random;

class HeartbeatDecoderTest {
    private static final String ID = "i-1";
    private static final String ANNOUNCEMENT =
            "{\"Service\":\"w\",\"Address\":\"10.0.0.9:8080\",\"Zone\":\"z\",\"Slots\":134,"
                    + "\"State\":\"%s\",\"Layers\":{\"From\":20,\"To\":31,\"Version\":1},"
                    + "\"Sequence\":%s,\"born\":1700000000000}";

    private final HeartbeatDecoder decoder = new HeartbeatDecoder();

    private Endpoint decode(String state, String sequence) {
        return decoder.decode(ID, Bytes.utf8(ANNOUNCEMENT.formatted(state, sequence)));
    }

    @Test
    void aRepeatedAnnouncementHasTheNewSequenceNumber() {
        decode("ready", "9");
        Endpoint repeated = decode("ready", "10");
        assertThat(repeated.heartbeat(), equalTo(10L));
        assertThat(repeated, equalTo(new HeartbeatDecoder().decode(ID, announcement("10"))));
    }

    private static Bytes announcement(String sequence) {
        return Bytes.utf8(ANNOUNCEMENT.formatted("ready", sequence));
    }

    @Test
    void aChangedFieldIsRead() {
        decode("ready", "9");
        assertThat(decode("draining", "10").leaving(), equalTo(true));
    }

    @Test
    void aMalformedSequenceNumberIsRejected() {
        decode("ready", "9");
        for (String sequence : new String[] {"", "-", "1x", "007", "1.5", "\"10\"", "{}"}) {
            assertThrows(JsonValue.MalformedException.class, () -> decode("ready", sequence));
        }
    }

    /** Sends announcements with random bytes changed, as another writer of the log might. */
    @Property(tries = 300)
    void allAnnouncementsAreReadAsIfEachWereTheFirst(@ForAll Random random) {
        for (int i = 0; i < 20; i++) {
            String sequence = String.valueOf(random.nextLong(2_000));
            byte[] bytes =
                    ANNOUNCEMENT.formatted("ready", sequence).getBytes(StandardCharsets.UTF_8);
            if (random.nextInt(3) == 0) {
                bytes[random.nextInt(bytes.length)] = (byte) (32 + random.nextInt(95));
            }
            assertThat(decoded(decoder, bytes), equalTo(decoded(new HeartbeatDecoder(), bytes)));
        }
    }

    private static Optional<Endpoint> decoded(HeartbeatDecoder decoder, byte[] bytes) {
        try {
            return Optional.of(decoder.decode(ID, Bytes.copyOf(bytes)));
        } catch (JsonValue.MalformedException e) {
            return Optional.empty();
        }
    }
}
