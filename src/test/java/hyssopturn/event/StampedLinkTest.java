package hyssopturn.event;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import hyssopturn.model.Bytes;
import hyssopturn.model.InstanceId;
import hyssopturn.port.PeerLink;
import hyssopturn.port.PeerLink.Topic;
import hyssopturn.standin.MemoryPeers;
import hyssopturn.standin.VirtualClock;

import org.junit.jupiter.api.Test;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

class StampedLinkTest {
    private static final InstanceId AHEAD = new InstanceId("ahead");
    private static final InstanceId BEHIND = new InstanceId("behind");
    private static final long FIVE_SECONDS = 5_000;

    private final VirtualClock time = new VirtualClock(1_000_000);
    private final MemoryPeers peers = new MemoryPeers(time, new SplittableRandom(1));
    private final HybridClock ahead = new HybridClock(new VirtualClock(1_000_000 + FIVE_SECONDS));
    private final HybridClock behind = new HybridClock(time);
    private final List<Bytes> received = new ArrayList<>();

    @Test
    void whatFollowsAMessageIsStampedAfterItThoughTheReceiversClockIsBehind() {
        PeerLink sender = new StampedLink(peers.link(AHEAD), ahead);
        PeerLink receiver = new StampedLink(peers.link(BEHIND), behind);
        receiver.setReceiver(Topic.MEMBER, (from, message) -> received.add(message));
        Stamp cause = ahead.next();
        sender.send(BEHIND, Topic.MEMBER, Bytes.utf8("hello"));
        time.advance(Duration.ofSeconds(1));
        assertThat(received, is(List.of(Bytes.utf8("hello"))));
        assertThat(behind.next(), greaterThan(cause));
    }

    @Test
    void messagesWithoutAStampAreDropped() {
        PeerLink receiver = new StampedLink(peers.link(BEHIND), behind);
        receiver.setReceiver(Topic.MEMBER, (from, message) -> received.add(message));
        peers.link(AHEAD).send(BEHIND, Topic.MEMBER, Bytes.utf8("short"));
        time.advance(Duration.ofSeconds(1));
        assertThat(received, is(List.of()));
    }
}
