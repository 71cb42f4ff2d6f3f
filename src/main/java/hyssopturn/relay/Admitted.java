package hyssopturn.relay;

import hyssopturn.catalog.Account;
import hyssopturn.catalog.Catalog;
import hyssopturn.catalog.Priorities;
import hyssopturn.catalog.Route;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalInt;

/** A request that was admitted, with the configuration that applies to it. */
record Admitted(
        Catalog catalog,
        Route route,
        String service,
        Optional<Account> account,
        CallHeaders headers,
        RequestBody body,
        long arrivedNanos) {
    String id() {
        return headers.id().orElse("");
    }

    /** Returns the priority of the request, from 0, the most urgent, to 9. */
    int priority() {
        return Priorities.rank(route, account);
    }

    /**
     * Returns the priority that engines receive, empty if the routes of the service do not differ.
     * Accounts alone do not call for it, since nearly all have the same priority.
     */
    OptionalInt sentPriority() {
        return catalog.routesDifferInPriority(service)
                ? OptionalInt.of(priority())
                : OptionalInt.empty();
    }

    /** Returns how long the caller waits, but no longer than the route allows. */
    Duration timeout() {
        Duration timeout = route.timeout();
        return headers.timeout().filter(p -> p.compareTo(timeout) < 0).orElse(timeout);
    }

    /** Returns the time after its arrival at which the request is answered whatever its outcome. */
    Duration timeToAnswer() {
        return AnswerTime.limit(route.timeout(), headers.timeout());
    }
}
