package hyssopturn.cli;

import hyssopturn.filter.Credentials;
import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.port.Instance;
import hyssopturn.wire.HttpCaller;
import hyssopturn.wire.HttpPlatform;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Asks every node on the instance list the same question. */
final class Nodes implements AutoCloseable {
    /** Settings that commands for operators take. */
    static final List<Setting<?>> SETTINGS =
            List.of(
                    Options.PLATFORM,
                    Options.CONNECT_TIMEOUT,
                    Options.LOG_TIMEOUT,
                    Options.OPERATOR_SECRET);

    private static final AccountId OPERATOR = new AccountId("operator");
    private static final int OK = 200;

    private final Vertx vertx = Vertx.vertx();
    private final HttpCaller caller;
    private final WebClient client;
    private final HttpPlatform platform;
    private final Duration timeout;
    private final String token;

    /** What a node answered; empty if it did not. */
    record Answer(Instance node, Optional<String> body) {}

    Nodes(Settings settings) {
        timeout = settings.get(Options.LOG_TIMEOUT);
        caller = new HttpCaller(vertx, settings.get(Options.CONNECT_TIMEOUT), timeout);
        client = WebClient.create(vertx);
        platform = new HttpPlatform(caller, settings.get(Options.PLATFORM), timeout);
        token = new Credentials(settings.get(Options.OPERATOR_SECRET)).token(OPERATOR);
    }

    /** Lists everything that the platform knows. */
    List<Instance> instances() {
        return platform.list().join();
    }

    /** Asks all nodes at once. */
    List<Answer> ask(String path) {
        List<Instance> nodes =
                instances().stream().filter(i -> i.role() instanceof Instance.Role.Node).toList();
        List<Future<Answer>> answers = new ArrayList<>();
        nodes.forEach(node -> answers.add(ask(node, path)));
        return answers.stream().map(answer -> answer.await()).toList();
    }

    private Future<Answer> ask(Instance node, String path) {
        Address at = node.address();
        return client.get(at.port(), at.host(), path)
                .bearerTokenAuthentication(token)
                .timeout(timeout.toMillis())
                .send()
                .map(response -> new Answer(node, body(response)))
                .otherwise(new Answer(node, Optional.empty()));
    }

    private static Optional<String> body(HttpResponse<?> response) {
        return response.statusCode() == OK
                ? Optional.of(response.bodyAsString())
                : Optional.empty();
    }

    @Override
    public void close() {
        caller.close();
        client.close();
        vertx.close().await();
    }
}
