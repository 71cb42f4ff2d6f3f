package hyssopturn.relay;

import io.vertx.core.MultiMap;

import java.util.Optional;

/** Reads and writes the HTTP headers that are exchanged with callers and endpoints. */
public interface HeaderCodec {
    /**
     * Decodes only the key of a client account, as {@link #decode} does.
     *
     * @param headers headers of the request
     * @return the key, empty if the caller sent none
     */
    Optional<String> key(MultiMap headers);

    /**
     * Decodes the headers of a caller's request.
     *
     * @param headers headers of the request
     * @return the decoded values; a malformed value is treated as absent
     */
    CallHeaders decode(MultiMap headers);

    /**
     * Writes the headers of a request to an endpoint: the caller's headers without hop-by-hop
     * headers and account key, and the values of the attempt.
     *
     * @param from headers of the caller
     * @param to headers of the request to the endpoint
     * @param attempt the attempt
     */
    void encode(MultiMap from, MultiMap to, Attempt attempt);

    /**
     * Decodes the head of an endpoint's answer.
     *
     * @param status HTTP status
     * @param headers headers of the answer
     * @return the decoded values
     */
    EndpointReply decodeReply(int status, MultiMap headers);
}
