package hyssopturn.peer;

import hyssopturn.model.Address;
import hyssopturn.model.InstanceId;

import java.time.Duration;

/**
 * Settings of links to other nodes.
 *
 * @param self name of this node
 * @param bind where it listens for links
 * @param secret secret that all nodes share
 * @param connectTimeout greatest time to make a connection and to prove both ends
 * @param heartbeat time without an answer after which one is asked for; after three the link counts
 *     as silent and a fresh one is made
 * @param queueFrames greatest number of frames that wait for a link; the oldest are dropped
 * @param maxFrameBytes greatest size of a frame, in bytes
 */
public record LinkSettings(
        InstanceId self,
        Address bind,
        String secret,
        Duration connectTimeout,
        Duration heartbeat,
        int queueFrames,
        int maxFrameBytes) {
    private static final Duration HEARTBEAT = Duration.ofMillis(700);
    private static final int QUEUE_FRAMES = 256;
    private static final int MAX_FRAME_BYTES = (1 << 20) + (1 << 16);

    /**
     * Returns the standard settings.
     *
     * @param self name of this node
     * @param bind where it listens for links
     * @param secret secret that all nodes share
     * @param connectTimeout greatest time to make a connection
     * @return the settings
     */
    public static LinkSettings standard(
            InstanceId self, Address bind, String secret, Duration connectTimeout) {
        return new LinkSettings(
                self, bind, secret, connectTimeout, HEARTBEAT, QUEUE_FRAMES, MAX_FRAME_BYTES);
    }
}
