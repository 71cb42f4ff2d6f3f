package hyssopturn.tunnel;

import hyssopturn.model.Address;
import hyssopturn.port.Clock;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tries the ways to an endpoint until a connection is open: directly, and through some other nodes.
 *
 * <p>A way that takes long is joined by the next one, and the first connection is used. The others
 * are closed without a byte of the request.
 */
final class Opening {
    /** Time after which the next way is tried as well; many round trips between zones. */
    private static final Duration NEXT_WAY_DELAY = Duration.ofMillis(60);

    /** Delay of the event loop from which on a timer is not on time. */
    private static final Duration LATE = Duration.ofMillis(20);

    /** Most other nodes that are asked for one connection. */
    private static final int MAX_HELPERS = 3;

    private final EndpointConnector connector;
    private final RequestOptions options;
    private final Address endpoint;
    private final Deque<Runnable> ways = new ArrayDeque<>();
    private final Promise<HttpClientRequest> result = Promise.promise();
    private Clock.Timer timer = () -> {};
    private Throwable directError;
    private Throwable lastError;
    private boolean asksOthers;
    private boolean directOpen;
    private boolean done;
    private int running;

    Opening(EndpointConnector connector, RequestOptions options, Address endpoint) {
        this.connector = connector;
        this.options = options;
        this.endpoint = endpoint;
    }

    Future<HttpClientRequest> start() {
        boolean lost = connector.lost(endpoint);
        connector.ask(endpoint, MAX_HELPERS).forEach(h -> ways.add(() -> tryThrough(h)));
        asksOthers = !ways.isEmpty();
        if (!lost || connector.takeTrial()) {
            ways.addFirst(this::tryDirect);
        } else {
            ways.addLast(this::tryDirect);
        }
        next();
        if (lost) {
            connector.explore(options);
        }
        if (lost && directOpen) {
            next();
        }
        return result.future();
    }

    private void next() {
        timer.cancel();
        if (done) {
            return;
        }
        Runnable way = ways.poll();
        if (way != null) {
            running++;
            way.run();
            waitForNext();
        } else if (running == 0) {
            done = true;
            if (asksOthers) {
                connector.recordUnreachable(endpoint);
            }
            result.fail(directError == null ? lastError : directError);
        }
    }

    /** Tries the next way after a delay; one of this node's own delays shows nothing. */
    private void waitForNext() {
        long dueNanos = connector.clock().nanos() + NEXT_WAY_DELAY.toNanos();
        timer =
                connector
                        .clock()
                        .after(
                                NEXT_WAY_DELAY,
                                () -> {
                                    if (connector.clock().nanos() - dueNanos > LATE.toNanos()) {
                                        waitForNext();
                                    } else {
                                        next();
                                    }
                                });
    }

    private void tryDirect() {
        directOpen = true;
        connector
                .direct(options)
                .onComplete(
                        opened -> {
                            directOpen = false;
                            connector.recordReached(endpoint);
                            use(opened, "direct");
                        },
                        error -> {
                            directOpen = false;
                            directError = error;
                            failed(error);
                        });
    }

    private void tryThrough(Address helper) {
        connector
                .through(helper, options)
                .onComplete(
                        opened -> {
                            if (directOpen || directError != null) {
                                connector.recordLost(endpoint);
                            }
                            use(opened, "through another node");
                        },
                        this::failed);
    }

    private void use(HttpClientRequest opened, String way) {
        running--;
        if (done) {
            opened.reset();
            return;
        }
        done = true;
        timer.cancel();
        connector.count(way);
        result.complete(opened);
    }

    private void failed(Throwable error) {
        running--;
        lastError = error;
        next();
    }
}
