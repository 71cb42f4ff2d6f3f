package hyssopturn.catalog;

import hyssopturn.helper.Check;

import java.time.Duration;
import java.util.List;

/**
 * The services and the service level of requests to one host and path prefix.
 *
 * @param name name of the route
 * @param host host of the requests, in lower case
 * @param prefix beginning of the path, which starts and ends with a slash
 * @param streaming true if the answer is a stream of events
 * @param retryPolicy whether a request may be sent again
 * @param timeout time limit of the whole answer
 * @param target target time to the answer, or to the first event of a stream
 * @param gapTarget target for the longest pause between events; zero if the route has no streams
 * @param maxAttempts greatest number of endpoints that one request may be sent to
 * @param priority priority of its requests, 0 is the most urgent
 * @param anonymous true if a request needs no account
 * @param services services that the requests go to; at least one
 */
public record Route(
        String name,
        String host,
        String prefix,
        boolean streaming,
        RetryPolicy retryPolicy,
        Duration timeout,
        Duration target,
        Duration gapTarget,
        int maxAttempts,
        int priority,
        boolean anonymous,
        List<WeightedService> services) {
    /** Checks the conditions that routing depends on. */
    public Route {
        Check.notBlank(name, "route");
        Check.that(
                prefix.startsWith("/") && prefix.endsWith("/"),
                "prefix must start and end with a slash");
        Check.that(!services.isEmpty(), "route must have at least one service");
        Check.that(maxAttempts >= 1, "route must allow at least one attempt");
        services = List.copyOf(services);
    }

    /**
     * Returns the requests that the route applies to.
     *
     * @return host and prefix
     */
    public RouteKey key() {
        return new RouteKey(host, prefix);
    }

    /**
     * Returns the same route with or without the need of an account.
     *
     * @param value true if a request needs no account
     * @return the route
     */
    public Route withAnonymous(boolean value) {
        return new Route(
                name,
                host,
                prefix,
                streaming,
                retryPolicy,
                timeout,
                target,
                gapTarget,
                maxAttempts,
                priority,
                value,
                services);
    }

    /**
     * A service and its share of a route's requests.
     *
     * @param service name of the service
     * @param weight weight among the route's services, at least 0
     */
    public record WeightedService(String service, double weight) {}

    /**
     * Picks the service of a request at random by the weights.
     *
     * @param draw random number from 0 to below 1
     * @return name of the service
     */
    public String pickService(double draw) {
        double total = services.stream().mapToDouble(WeightedService::weight).sum();
        double remaining = draw * total;
        for (WeightedService share : services) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return services.getLast().service();
    }
}
