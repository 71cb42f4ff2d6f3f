package hyssopturn.relay;

import hyssopturn.model.Address;

import io.vertx.core.Future;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;

/** Opens connections to endpoints, and writes the head of a caller's request for them. */
final class AttemptOpener {
    private final RelayContext context;
    private final HttpServerRequest request;
    private final Admitted admitted;

    /**
     * Creates an opener for the attempts of a request.
     *
     * @param context dependencies shared by all requests
     * @param request the caller's request
     * @param admitted what was found for it when it was admitted
     */
    AttemptOpener(RelayContext context, HttpServerRequest request, Admitted admitted) {
        this.context = context;
        this.request = request;
        this.admitted = admitted;
    }

    /**
     * Opens a connection for an attempt.
     *
     * @param attempt the attempt
     * @param number number of the attempt within the request
     * @return the request, of which nothing is sent yet; fails with {@link
     *     UnsendableRequestException} if its head cannot be encoded, else since no connection could
     *     be opened
     */
    Future<HttpClientRequest> open(Attempt attempt, int number) {
        context.trace()
                .record(
                        attempt.offered(
                                number,
                                admitted,
                                context.settings().zone(),
                                Math.round(context.load().zoneTokens())));
        return context.client().request(options(attempt)).map(r -> encodeHead(r, attempt));
    }

    private RequestOptions options(Attempt attempt) {
        Address address = attempt.endpoint().address();
        return new RequestOptions()
                .setMethod(request.method())
                .setURI(RequestTarget.of(request).orElseThrow().uri())
                .setConnectTimeout(context.settings().connectTimeout().toMillis())
                .setServer(SocketAddress.inetSocketAddress(address.port(), address.host()))
                .setHost(address.host())
                .setPort(address.port());
    }

    private HttpClientRequest encodeHead(HttpClientRequest opened, Attempt attempt) {
        opened.exceptionHandler(
                e -> {
                    // the future of the answer fails as well, and its handler deals with the error
                });
        try {
            context.headerCodec().encode(request.headers(), opened.headers(), attempt);
        } catch (IllegalArgumentException e) {
            opened.reset();
            throw new UnsendableRequestException(e);
        }
        return opened;
    }
}
