package hyssopturn.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.google.protobuf.ByteString;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.peer.generated.Frame;
import hyssopturn.port.PeerLink.Topic;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

class LinkHandlerTest {
    private static final int MAX_FRAME_BYTES = 4_096;
    private static final InstanceId ANA = new InstanceId("ana");
    private static final InstanceId BEN = new InstanceId("ben");

    /** One end of a connection. */
    private static final class End implements LinkHandler.Events {
        final SimpleMeterRegistry meters = new SimpleMeterRegistry();
        final List<String> messages = new ArrayList<>();
        final EmbeddedChannel channel = new EmbeddedChannel(false, false);
        final LinkHandler handler;
        final boolean listed;
        Optional<ChannelHandlerContext> context = Optional.empty();

        End(InstanceId self, String secret, Optional<InstanceId> expected, boolean listed) {
            this.listed = listed;
            LinkSettings settings =
                    new LinkSettings(
                            self,
                            new Address("127.0.0.1", 1),
                            secret,
                            Duration.ofSeconds(1),
                            Duration.ofSeconds(1),
                            4,
                            MAX_FRAME_BYTES);
            handler =
                    new LinkHandler(
                            settings,
                            new Handshake(secret),
                            new LinkCounters(meters),
                            this,
                            expected);
            handler.install(channel.pipeline());
        }

        void open() throws Exception {
            channel.register();
        }

        double closed(String why) {
            return meters.counter("hyssopturn.peer.closed", "why", why).count();
        }

        @Override
        public boolean listed(InstanceId node) {
            return listed;
        }

        @Override
        public void ready(InstanceId node, LinkHandler link, ChannelHandlerContext ready) {
            context = Optional.of(ready);
        }

        @Override
        public void message(InstanceId node, Topic topic, Bytes message) {
            messages.add(node + " " + topic + " " + message.text());
        }

        @Override
        public void writable(InstanceId node) {}

        @Override
        public void closed(Optional<InstanceId> node, ChannelHandlerContext gone) {}
    }

    private static void pass(End one, End other) {
        boolean moved = true;
        while (moved) {
            boolean there = pump(one.channel, other.channel);
            boolean back = pump(other.channel, one.channel);
            moved = there || back;
        }
    }

    private static boolean pump(EmbeddedChannel from, EmbeddedChannel to) {
        boolean moved = false;
        ByteBuf data = from.readOutbound();
        while (data != null) {
            if (to.isOpen()) {
                to.writeInbound(data);
            }
            moved = true;
            data = from.readOutbound();
        }
        return moved;
    }

    private static End[] connect(String secret, boolean listed) throws Exception {
        End caller = new End(ANA, "shared", Optional.of(BEN), true);
        End listener = new End(BEN, secret, Optional.empty(), listed);
        caller.open();
        listener.open();
        pass(caller, listener);
        return new End[] {caller, listener};
    }

    @Nested
    class Proof {
        @Test
        void letsBothEndsTalk() throws Exception {
            End[] ends = connect("shared", true);
            ends[0].handler.send(ends[0].context.orElseThrow(), Topic.MEMBER, Bytes.utf8("hi"));
            ends[1].handler.send(ends[1].context.orElseThrow(), Topic.ANSWER, Bytes.utf8("ho"));
            pass(ends[0], ends[1]);
            assertThat(ends[1].messages, is(List.of("ana MEMBER hi")));
            assertThat(ends[0].messages, is(List.of("ben ANSWER ho")));
        }

        @Test
        void failsWithAnotherSecret() throws Exception {
            End[] ends = connect("other", true);
            assertThat(ends[1].channel.isOpen(), is(false));
            assertThat(ends[1].closed("refused"), is(1.0));
        }

        @Test
        void failsForANodeThatIsNotListed() throws Exception {
            End[] ends = connect("shared", false);
            assertThat(ends[1].channel.isOpen(), is(false));
            assertThat(ends[0].context.isPresent(), is(false));
        }

        @Test
        void isWorthNothingWhenReplayed() throws Exception {
            End first = new End(BEN, "shared", Optional.empty(), true);
            End second = new End(BEN, "shared", Optional.empty(), true);
            End caller = new End(ANA, "shared", Optional.of(BEN), true);
            first.open();
            second.open();
            caller.open();
            pump(first.channel, caller.channel);
            pump(caller.channel, second.channel);
            assertThat(second.channel.isOpen(), is(false));
        }
    }

    @Nested
    class BadInput {
        @Test
        void ofHugeLengthClosesAtOnce() throws Exception {
            End[] ends = connect("shared", true);
            ends[1].channel.writeInbound(Unpooled.copyInt(MAX_FRAME_BYTES + 1));
            assertThat(ends[1].channel.isOpen(), is(false));
            assertThat(ends[1].closed("malformed"), is(1.0));
        }

        @Test
        void beforeTheProofMayBeSmallOnly() throws Exception {
            End listener = new End(BEN, "shared", Optional.empty(), true);
            listener.open();
            listener.channel.writeInbound(Unpooled.copyInt(LinkHandler.HANDSHAKE_FRAME_BYTES + 1));
            assertThat(listener.channel.isOpen(), is(false));
        }

        @Test
        void keepsFieldsOfLaterVersions() throws Exception {
            End[] ends = connect("shared", true);
            byte[] later =
                    Frame.newBuilder()
                            .setVersion(LinkHandler.VERSION + 1)
                            .setPayload(ByteString.copyFromUtf8("x"))
                            .setUnknownFields(
                                    com.google.protobuf.UnknownFieldSet.newBuilder()
                                            .addField(
                                                    99,
                                                    com.google.protobuf.UnknownFieldSet.Field
                                                            .newBuilder()
                                                            .addVarint(5)
                                                            .build())
                                            .build())
                            .build()
                            .toByteArray();
            ends[1].channel.writeInbound(
                    Unpooled.copyInt(later.length), Unpooled.copiedBuffer(later));
            assertThat(ends[1].messages, is(List.of("ana MEMBER x")));
        }
    }

    @Property(tries = 500, seed = "11")
    void anyBytesEitherPassOrCloseTheLink(
            @ForAll @Size(max = 300) List<Byte> noise, @ForAll @IntRange(max = 400) int at)
            throws Exception {
        End[] ends = connect("shared", true);
        byte[] valid =
                Frame.newBuilder()
                        .setVersion(LinkHandler.VERSION)
                        .setPayload(ByteString.copyFromUtf8("payload"))
                        .build()
                        .toByteArray();
        byte[] data = new byte[4 + valid.length + noise.size()];
        data[3] = (byte) (at % 2 == 0 ? valid.length : noise.size());
        System.arraycopy(valid, 0, data, 4, valid.length);
        for (int i = 0; i < noise.size(); i++) {
            data[(at + i) % data.length] = noise.get(i);
        }
        ends[1].channel.writeInbound(Unpooled.copiedBuffer(data));
        ends[1].channel.checkException();
        boolean closed = !ends[1].channel.isOpen();
        double counted = ends[1].closed("malformed") + ends[1].closed("refused");
        assertThat(closed, is(counted > 0));
    }

    @Property(tries = 500, seed = "12")
    void anyPayloadDecodesOrIsRefused(@ForAll @Size(max = 200) List<Byte> noise) {
        byte[] data = new byte[noise.size()];
        for (int i = 0; i < data.length; i++) {
            data[i] = noise.get(i);
        }
        MemberCodec codec = new MemberCodec();
        Optional<hyssopturn.member.Message> decoded = codec.decode(Bytes.wrap(data));
        decoded.ifPresent(m -> assertThat(codec.decode(codec.encode(m)).isPresent(), is(true)));
    }
}
