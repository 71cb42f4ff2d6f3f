package hyssopturn.relay;

import io.vertx.core.MultiMap;

/** How callers and endpoints name things in headers. */
public interface Dialect {
    /**
     * Decodes a caller's headers.
     *
     * @param headers headers of its request
     * @return what they say; a malformed value counts as not given
     */
    CallHeaders decode(MultiMap headers);

    /**
     * Writes the headers that an endpoint gets: the caller's, but for those of its connection and
     * its key, and what the offer says.
     *
     * @param from headers of the caller
     * @param to headers of the request to the endpoint
     * @param offer the offer
     */
    void encode(MultiMap from, MultiMap to, Offer offer);

    /**
     * Decodes the head of an endpoint's answer.
     *
     * @param status HTTP status
     * @param headers its headers
     * @return what they say
     */
    EndpointReply reply(int status, MultiMap headers);
}
