package hyssopturn.relay;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;

/** Opens requests to endpoints. */
@FunctionalInterface
public interface EndpointClient {
    /**
     * Opens a connection for a request.
     *
     * @param options method, address and target of the request
     * @return the request, of which nothing is sent yet; fails if no connection could be opened
     */
    Future<HttpClientRequest> request(RequestOptions options);

    /**
     * Returns whether a request passes another node, whose end looks like that of an answer without
     * a length.
     *
     * @param request an open request
     * @return true if it does
     */
    default boolean indirect(HttpClientRequest request) {
        return false;
    }
}
