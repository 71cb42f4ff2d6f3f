package hyssopturn.relay;

import io.vertx.core.MultiMap;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Headers that concern one connection only. */
public final class HopHeaders {
    private static final Set<String> NAMES =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "content-length",
                    "expect");

    private HopHeaders() {}

    /**
     * Copies headers, but for those of one connection.
     *
     * @param from where they stand
     * @param to where they go
     */
    public static void copyOthers(MultiMap from, MultiMap to) {
        for (Map.Entry<String, String> header : from) {
            if (!NAMES.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}
