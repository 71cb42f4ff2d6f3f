package hyssopturn.catalog;

import hyssopturn.helper.Check;

import java.time.Duration;
import java.util.List;

/**
 * Where requests of one host and path prefix go, and what they may expect.
 *
 * @param name name of the route
 * @param host host that callers name, in lower case
 * @param prefix beginning of the path, which starts and ends with a slash
 * @param streaming true if the answer is a stream of events
 * @param repeat what may be sent again
 * @param timeout longest time that a caller waits for the whole answer
 * @param target time within which the answer, or its first event, is wanted
 * @param gapTarget longest pause wanted between events; zero if the route has no streams
 * @param maxAttempts greatest number of endpoints that one request may be sent to
 * @param priority rank of its requests, 0 is the most urgent
 * @param anonymous true if a request needs no account
 * @param shares services that the requests go to; at least one
 */
public record Route(
        String name,
        String host,
        String prefix,
        boolean streaming,
        Repeat repeat,
        Duration timeout,
        Duration target,
        Duration gapTarget,
        int maxAttempts,
        int priority,
        boolean anonymous,
        List<Share> shares) {
    /** Checks what the decisions rely on. */
    public Route {
        Check.notBlank(name, "route");
        Check.that(prefix.startsWith("/") && prefix.endsWith("/"), "prefix must be in slashes");
        Check.that(!shares.isEmpty(), "route must have a service");
        Check.that(maxAttempts >= 1, "route must allow one attempt");
        shares = List.copyOf(shares);
    }

    /**
     * One service's part of a route's requests.
     *
     * @param service name of the service
     * @param weight its weight among the route's services, at least 0
     */
    public record Share(String service, double weight) {}

    /**
     * Picks the service of a request.
     *
     * @param draw number from 0 to below 1
     * @return name of the service
     */
    public String service(double draw) {
        double total = shares.stream().mapToDouble(Share::weight).sum();
        double left = draw * total;
        for (Share share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.getLast().service();
    }
}
