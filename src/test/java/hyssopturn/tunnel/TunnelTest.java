package hyssopturn.tunnel;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import hyssopturn.model.Address;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.ChannelOption;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.ProxyOptions;
import io.vertx.core.net.ProxyType;
import io.vertx.core.net.impl.ConnectionBase;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

class TunnelTest {
    private static final String HOST = "127.0.0.1";
    private static final int SECONDS = 10;
    private static final int LIMIT = 10;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final HttpClient client =
            vertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
    private final int endpoint = endpoint().actualPort();
    private final Address tunnel = new Address(HOST, Ports.free());

    private HttpServer endpoint() {
        return vertx.createHttpServer()
                .requestHandler(r -> r.body().onSuccess(b -> r.response().end("answer to " + b)))
                .listen(0, HOST)
                .await();
    }

    private TunnelServer listen(boolean permitted) {
        TunnelServer server =
                new TunnelServer(vertx, a -> permitted, LIMIT, new SimpleMeterRegistry());
        server.listen(tunnel).await();
        return server;
    }

    private static <T> T get(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(SECONDS, TimeUnit.SECONDS);
    }

    private Future<Buffer> post(int port, String body) {
        return open(port).compose(r -> r.send(body)).compose(r -> r.body());
    }

    private Future<HttpClientRequest> open(int port) {
        RequestOptions options =
                new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(HOST)
                        .setPort(port)
                        .setProxyOptions(
                                new ProxyOptions()
                                        .setType(ProxyType.SOCKS5)
                                        .setHost(tunnel.host())
                                        .setPort(tunnel.port()));
        return client.request(options);
    }

    @AfterEach
    void close() throws Exception {
        get(vertx.close());
    }

    @Test
    void aRequestIsAnsweredThroughAnotherNode() throws Exception {
        listen(true);
        assertThat(get(post(endpoint, "a letter")).toString(), equalTo("answer to a letter"));
    }

    /** Guards against tunnels that count as open after their request has ended. */
    @Test
    void manyRequestsLeaveNoTunnelOpen() throws Exception {
        TunnelServer server = listen(true);
        for (int i = 0; i < 3 * LIMIT; i++) {
            get(post(endpoint, "a letter"));
        }
        get(vertx.timer(200, TimeUnit.MILLISECONDS));
        assertThat(server.open(), equalTo(0));
    }

    @Test
    void anAddressThatIsNoEndpointsIsRefused() {
        listen(false);
        ExecutionException error =
                assertThrows(ExecutionException.class, () -> get(post(endpoint, "a letter")));
        assertThat(error.getCause(), instanceOf(IOException.class));
    }

    /** Guards against an answer that was torn by a reset and looks complete behind a tunnel. */
    @Test
    void aResetOfTheEndpointStaysAReset() throws Exception {
        listen(true);
        int resetting =
                vertx.createNetServer()
                        .connectHandler(
                                socket ->
                                        socket.handler(
                                                bytes ->
                                                        socket.write("HTTP/1.1 200 OK\r\n\r\nhalf")
                                                                .onSuccess(v -> reset(socket))))
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        assertThrows(ExecutionException.class, () -> get(post(resetting, "a letter")));
    }

    private static void reset(NetSocket socket) {
        ((ConnectionBase) socket).channel().config().setOption(ChannelOption.SO_LINGER, 0);
        socket.close();
    }

    /** Guards against work that an endpoint goes on with after its caller has left. */
    @Test
    void theEndpointSeesThatTheCallerLeft() throws Exception {
        listen(true);
        Promise<Void> left = Promise.promise();
        int silent =
                vertx.createNetServer()
                        .connectHandler(
                                socket -> socket.handler(b -> {}).closeHandler(left::complete))
                        .listen(0, HOST)
                        .await()
                        .actualPort();
        HttpClientRequest request = get(open(silent));
        request.send("a letter");
        get(vertx.timer(100, TimeUnit.MILLISECONDS));
        request.reset();
        get(left.future());
    }
}
