package hyssopturn.relay;

import io.vertx.core.MultiMap;

import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Hop-by-hop HTTP headers, which apply to one connection only and are not forwarded. */
public final class HopByHopHeaders {
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

    private HopByHopHeaders() {}

    /**
     * Copies all headers except the hop-by-hop ones.
     *
     * @param from headers to copy
     * @param to headers to which the copies are added
     */
    public static void copyEndToEnd(MultiMap from, MultiMap to) {
        for (Map.Entry<String, String> header : from) {
            if (!NAMES.contains(header.getKey().toLowerCase(Locale.ROOT))) {
                to.add(header.getKey(), header.getValue());
            }
        }
    }
}
