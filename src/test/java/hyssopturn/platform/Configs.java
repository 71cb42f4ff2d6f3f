package hyssopturn.platform;

import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Configurations for tests with a whole node. */
final class Configs {
    static final String HOST = "town.example";
    static final String KEY = "key-1";

    private Configs() {}

    /** Returns a configuration with one idempotent and one unsafe route. */
    static String version(int version) {
        return version(version, 20_000, 0, 0);
    }

    /**
     * Returns a configuration with one idempotent and one unsafe route.
     *
     * @param version version of the configuration
     * @param timeoutMillis timeout of both routes
     * @param moreRoutes number of other routes
     * @param moreAccounts number of other accounts
     */
    static String version(int version, int timeoutMillis, int moreRoutes, int moreAccounts) {
        String routes =
                route("l", "/look/", "idempotent", timeoutMillis)
                        + ","
                        + route("b", "/book/", "unsafe", timeoutMillis)
                        + IntStream.range(0, moreRoutes)
                                .mapToObj(
                                        i -> "," + route("m" + i, "/m" + i + "/", "unsafe", 1_000))
                                .collect(Collectors.joining());
        String accounts =
                IntStream.range(0, moreAccounts)
                        .mapToObj(i -> ",{\"Name\":\"t%d\",\"ApiKeys\":[\"k%d\"]}".formatted(i, i))
                        .collect(Collectors.joining());
        return """
        {"Version":%d,"Routes":[%s],"Services":[{"Name":"records"}],
         "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"IdleTimeoutMs":15000},
         "Tenants":[{"Name":"ann","ApiKeys":["%s"]}%s]}
        """
                .formatted(version, routes, KEY, accounts);
    }

    private static String route(String name, String prefix, String type, int timeoutMillis) {
        return """
        {"Name":"%s","Host":"%s","PathPrefix":"%s","Type":"%s","TimeoutMs":%d,
         "TargetLatencyMs":10000,"Service":"records","MaxAttempts":2}\
        """
                .formatted(name, HOST, prefix, type, timeoutMillis);
    }
}
