package hyssopturn.relay;

import hyssopturn.helper.Octets;

import io.vertx.core.http.HttpServerRequest;

import java.util.Optional;

/**
 * The target of a caller's request, as text: the HTTP library reads a byte as a character, but
 * writes a character as its UTF-8 form.
 *
 * @param uri path and query, as they are sent to endpoints
 * @param path path without the query
 */
record RequestTarget(String uri, String path) {
    /**
     * Reads the target of a request.
     *
     * @return the target, empty if it is not valid UTF-8, so that its bytes cannot be sent on
     */
    static Optional<RequestTarget> of(HttpServerRequest request) {
        return Octets.toText(request.uri())
                .flatMap(
                        uri ->
                                Octets.toText(request.path())
                                        .map(path -> new RequestTarget(uri, path)));
    }
}
