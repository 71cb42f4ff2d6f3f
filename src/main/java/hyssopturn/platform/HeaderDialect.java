package hyssopturn.platform;

import hyssopturn.chain.EngineChain;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.model.Address;
import hyssopturn.relay.CallHeaders;
import hyssopturn.relay.Dialect;
import hyssopturn.relay.EndpointReply;
import hyssopturn.relay.HopHeaders;
import hyssopturn.relay.Offer;

import io.vertx.core.MultiMap;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

/** The platform's headers of requests and answers. */
final class HeaderDialect implements Dialect {
    private static final String REQUEST = "Hyssopturn-Attempt-Id";
    private static final String PATIENCE = "Hyssopturn-Deadline-Ms";
    private static final String TOKENS = "Hyssopturn-Token-Counts";
    private static final String EXPECTED_TOKENS = "Hyssopturn-Length-Hint";
    private static final String KEY = "X-Api-Key";
    private static final String ACCOUNT = "Hyssopturn-Tenant";
    private static final String EXPECTED = "Hyssopturn-Expect-Instance";
    private static final String CHAIN = "Hyssopturn-Hop-Count";
    private static final String SIGNATURE = "Hyssopturn-Server-Seal";
    private static final String NOT_RUN = "Hyssopturn-Not-Executed";
    private static final String FAULT = "At-Server";
    private static final String RESUME = "Last-Event-Id";
    private static final String HOST = "Host";
    private static final int MISDIRECTED = 421;

    @Override
    public CallHeaders decode(MultiMap headers) {
        String[] tokens = Optional.ofNullable(headers.get(TOKENS)).orElse("").split(",", -1);
        return new CallHeaders(
                Optional.ofNullable(headers.get(REQUEST)),
                number(headers.get(PATIENCE)).stream().mapToObj(Duration::ofMillis).findFirst(),
                Optional.ofNullable(headers.get(KEY)),
                number(tokens[0]).orElse(0),
                tokens.length > 1 ? number(tokens[1]).orElse(0) : 0,
                number(headers.get(EXPECTED_TOKENS)),
                number(headers.get(RESUME)));
    }

    private static OptionalLong number(String text) {
        if (text == null) {
            return OptionalLong.empty();
        }
        try {
            return OptionalLong.of(Long.parseLong(text.strip()));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    @Override
    public void encode(MultiMap from, MultiMap to, Offer offer) {
        HopHeaders.copyOthers(from, to);
        to.remove(KEY);
        to.remove(ACCOUNT);
        to.remove(RESUME);
        to.remove(CHAIN);
        to.set(HOST, from.get(HOST));
        to.set(PATIENCE, String.valueOf(Math.max(1, offer.patience().toMillis())));
        to.set(EXPECTED, offer.endpoint().id().value());
        offer.account().ifPresent(a -> to.set(ACCOUNT, a.name()));
        offer.chain().ifPresent(c -> to.set(CHAIN, chain(c)));
        offer.resumeAfter().ifPresent(id -> to.set(RESUME, String.valueOf(id)));
    }

    private static String chain(EngineChain chain) {
        return chain.hops().stream()
                .map(hop -> hop.engine().address() + "=" + hop.range())
                .collect(Collectors.joining(","));
    }

    @Override
    public EndpointReply reply(int status, MultiMap headers) {
        return new EndpointReply(
                status,
                headers.contains(NOT_RUN) || status == MISDIRECTED,
                headers.contains(SIGNATURE),
                Optional.ofNullable(headers.get(REQUEST)),
                Optional.ofNullable(headers.get(FAULT)).flatMap(HeaderDialect::address));
    }

    private static Optional<Address> address(String text) {
        try {
            return Optional.of(Address.parse(text));
        } catch (InvalidArgumentException e) {
            return Optional.empty();
        }
    }
}
