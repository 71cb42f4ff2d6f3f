package hyssopturn.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.port.KeyedLog;
import hyssopturn.share.ShareMessage;
import hyssopturn.share.ShareMessage.HoldersKnown;
import hyssopturn.share.ShareMessage.Holding;
import hyssopturn.share.ShareMessage.Position;
import hyssopturn.share.ShareMessage.Question;
import hyssopturn.share.ShareMessage.Reply;
import hyssopturn.share.ShareMessage.Status;
import hyssopturn.share.ShareMessage.StreamRecord;
import hyssopturn.share.ShareMessage.StreamState;
import hyssopturn.share.SharedStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

class ShareCodecTest {
    private static final Question QUESTION =
            new Question(
                    -3,
                    4,
                    List.of(new Position(SharedStream.FAULTS, 17)),
                    -9,
                    true,
                    List.of("e1", "e2"));
    private static final Reply REPLY =
            new Reply(
                    -3,
                    12,
                    1,
                    2,
                    ShareMessage.NO_ERA,
                    List.of(
                            new StreamState(
                                    SharedStream.ENDPOINTS,
                                    Status.COMPLETE,
                                    5,
                                    9,
                                    Duration.ofMillis(70))),
                    List.of(
                            entry(Optional.of(Bytes.utf8("v"))),
                            entry(Optional.of(Bytes.EMPTY)),
                            entry(Optional.empty())),
                    Optional.of(new HoldersKnown(-8, Duration.ofSeconds(2))),
                    List.of(new Holding(new Address("10.0.0.1", 7), List.of(0, 127))));

    private static StreamRecord entry(Optional<Bytes> value) {
        return new StreamRecord(SharedStream.ENDPOINTS, new KeyedLog.Entry("e1", value, 6));
    }

    @Test
    void messagesKeepTheirContent() {
        assertThat(ShareCodec.decode(ShareCodec.encode(QUESTION)), equalTo(QUESTION));
        assertThat(ShareCodec.decode(ShareCodec.encode(REPLY)), equalTo(REPLY));
    }

    /** Any node of the platform can send to the port. */
    @Property(tries = 500)
    void randomBytesAreMalformedOrAMessage(@ForAll @Size(max = 200) byte[] bytes) {
        decode(bytes);
    }

    /** A message of which some bytes changed is still mostly well-formed. */
    @Property(tries = 500)
    void changedBytesAreMalformedOrAMessage(
            @ForAll int position, @ForAll byte value, @ForAll boolean question) {
        byte[] bytes = ShareCodec.encode(question ? QUESTION : REPLY);
        bytes[Math.floorMod(position, bytes.length)] = value;
        decode(bytes);
    }

    private static void decode(byte[] bytes) {
        try {
            ShareCodec.decode(bytes);
        } catch (InvalidArgumentException e) {
            // no other error may be thrown
        }
    }

    @Test
    void oversizedMessagesAreMalformed() {
        byte[] bytes = new byte[ShareCodec.MAX_BYTES + 1];
        assertThrows(InvalidArgumentException.class, () -> ShareCodec.decode(bytes));
    }

    /** A larger datagram would be split by the network, which loses it more often. */
    @Test
    void theLargestPartFitsIntoADatagram() {
        KeyedLog.Entry entry =
                new KeyedLog.Entry(
                        "e".repeat(255), Optional.of(Bytes.utf8("v".repeat(845))), Long.MAX_VALUE);
        StreamState state =
                new StreamState(
                        SharedStream.FAULTS,
                        Status.COMPLETE,
                        Long.MAX_VALUE,
                        Long.MAX_VALUE,
                        Duration.ofDays(1));
        Reply reply =
                new Reply(
                        -1,
                        Long.MAX_VALUE,
                        15,
                        16,
                        Long.MAX_VALUE,
                        Collections.nCopies(3, state),
                        List.of(new StreamRecord(SharedStream.FAULTS, entry)),
                        Optional.of(new HoldersKnown(-1, Duration.ofDays(1))),
                        List.of());
        assertThat(ShareCodec.encode(reply).length, lessThanOrEqualTo(ShareCodec.MAX_BYTES));
    }
}
