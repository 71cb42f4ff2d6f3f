package hyssopturn.platform;

import hyssopturn.relay.Attempt;
import hyssopturn.relay.CallHeaders;
import hyssopturn.relay.EndpointReply;
import hyssopturn.relay.HeaderCodec;

import io.vertx.core.MultiMap;

import java.util.Optional;

/** Codec of the platform's headers that fails when a test says so. */
final class FaultyHeaders implements HeaderCodec {
    private final PlatformHeaders platform;
    private volatile boolean decodingFails;
    private volatile boolean encodingFails;

    FaultyHeaders(PlatformHeaders platform) {
        this.platform = platform;
    }

    /** Sets whether decoding the headers of requests fails with an unexpected error. */
    void decodingFails(boolean fails) {
        decodingFails = fails;
    }

    /** Sets whether a request to an endpoint cannot be encoded. */
    void encodingFails(boolean fails) {
        encodingFails = fails;
    }

    @Override
    public CallHeaders decode(MultiMap headers) {
        if (decodingFails) {
            throw new IllegalStateException("unexpected");
        }
        return platform.decode(headers);
    }

    @Override
    public Optional<String> key(MultiMap headers) {
        return platform.key(headers);
    }

    @Override
    public void encode(MultiMap from, MultiMap to, Attempt attempt) {
        if (encodingFails) {
            throw new IllegalArgumentException("a value that no header carries");
        }
        platform.encode(from, to, attempt);
    }

    @Override
    public EndpointReply decodeReply(int status, MultiMap headers) {
        return platform.decodeReply(status, headers);
    }
}
