package hyssopturn.platform;

import hyssopturn.catalog.Account;
import hyssopturn.chain.EngineChain;
import hyssopturn.helper.InvalidArgumentException;
import hyssopturn.helper.Octets;
import hyssopturn.limit.LimitNotice;
import hyssopturn.model.Address;
import hyssopturn.model.PromptPart;
import hyssopturn.relay.Attempt;
import hyssopturn.relay.CallHeaders;
import hyssopturn.relay.EndpointNotice;
import hyssopturn.relay.EndpointReply;
import hyssopturn.relay.HeaderCodec;
import hyssopturn.relay.HopByHopHeaders;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.MultiMap;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Encodes and decodes the platform's request and response headers. */
final class PlatformHeaders implements HeaderCodec {
    private static final String ATTEMPT_ID = "Hyssopturn-Attempt-Id";
    private static final String DEADLINE = "Hyssopturn-Deadline-Ms";
    private static final String TOKEN_COUNTS = "Hyssopturn-Token-Counts";
    private static final String PROMPT_PARTS = "Hyssopturn-Prompt-Prefix";
    private static final String EXPECTED_TOKENS = "Hyssopturn-Length-Hint";
    private static final String API_KEY = "X-Api-Key";
    private static final String ACCOUNT = "Hyssopturn-Tenant";
    private static final String EXPECTED_INSTANCE = "Hyssopturn-Expect-Instance";
    private static final String CHAIN = "Hyssopturn-Hop-Count";
    private static final String SIGNATURE = "Hyssopturn-Server-Seal";
    private static final String NOT_EXECUTED = "Hyssopturn-Not-Executed";
    private static final String FAULT_ADDRESS = "At-Server";
    private static final String SHUTTING_DOWN = "Server-Leaving";
    private static final String RATE_LIMIT = "Server-Limit";
    private static final String RETRY_AFTER = "Retry-After";
    private static final String LAST_EVENT_ID = "Last-Event-Id";
    private static final String PRIORITY = "Hyssopturn-Request-Priority";
    private static final String HOST = "Host";
    private static final int CLIENT_ERROR = 400;
    private static final int MISDIRECTED = 421;
    private static final int UNAVAILABLE = 503;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Longest pause that an endpoint can ask for, in milliseconds; a longer one is shortened. */
    private static final double MAX_PAUSE_MILLIS = 86_400_000;

    /** Limit of decoded counts, so that sums and products of them do not overflow. */
    private static final long MAX_COUNT = 1_000_000_000;

    /** Maximum number of decoded parts of a prompt. */
    private static final int MAX_PARTS = 32;

    /** Maximum length of the id of a decoded part, in characters. */
    private static final int MAX_PART_ID_LENGTH = 64;

    private final MeterRegistry meters;

    /**
     * Creates a codec.
     *
     * @param meters registry for the counter of malformed values
     */
    PlatformHeaders(MeterRegistry meters) {
        this.meters = meters;
    }

    @Override
    public Optional<String> key(MultiMap headers) {
        return Optional.ofNullable(headers.get(API_KEY)).map(k -> Octets.toText(k).orElse(k));
    }

    @Override
    public CallHeaders decode(MultiMap headers) {
        String[] tokens = Optional.ofNullable(headers.get(TOKEN_COUNTS)).orElse("").split(",", -1);
        return new CallHeaders(
                Optional.ofNullable(headers.get(ATTEMPT_ID)),
                count(headers.get(DEADLINE)).stream().mapToObj(Duration::ofMillis).findFirst(),
                key(headers),
                count(tokens[0]).orElse(0),
                tokens.length > 1 ? count(tokens[1]).orElse(0) : 0,
                count(headers.get(EXPECTED_TOKENS)),
                parts(String.join(",", headers.getAll(PROMPT_PARTS))),
                number(headers.get(LAST_EVENT_ID)));
    }

    /** Decodes the parts of a prompt; entries that have no id are left out. */
    private static List<PromptPart> parts(String text) {
        List<PromptPart> parts = new ArrayList<>();
        for (String entry : text.split(",", MAX_PARTS + 1)) {
            String[] fields = entry.split(":", -1);
            String id = fields[0].strip().toLowerCase(Locale.ROOT);
            if (parts.size() < MAX_PARTS && !id.isEmpty() && id.length() <= MAX_PART_ID_LENGTH) {
                parts.add(new PromptPart(id, fields.length > 1 ? count(fields[1]).orElse(0) : 0));
            }
        }
        return parts;
    }

    /**
     * Decodes a number of milliseconds or tokens; values that no sound caller sends are limited.
     */
    private static OptionalLong count(String text) {
        OptionalLong value = number(text);
        return value.isPresent()
                ? OptionalLong.of(Math.clamp(value.getAsLong(), 0, MAX_COUNT))
                : value;
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
    public void encode(MultiMap from, MultiMap to, Attempt offer) {
        HopByHopHeaders.copyEndToEnd(from, to);
        to.remove(API_KEY);
        to.remove(ACCOUNT);
        to.remove(LAST_EVENT_ID);
        to.remove(CHAIN);
        to.remove(PRIORITY);
        to.set(HOST, from.get(HOST));
        to.set(DEADLINE, String.valueOf(Math.max(1, offer.timeout().toMillis())));
        to.set(EXPECTED_INSTANCE, offer.endpoint().id().value());
        offer.account().ifPresent(a -> to.set(ACCOUNT, accountName(a)));
        offer.chain().ifPresent(c -> to.set(CHAIN, chain(c)));
        offer.priority().ifPresent(p -> to.set(PRIORITY, String.valueOf(p)));
        offer.resumeAfter().ifPresent(id -> to.set(LAST_EVENT_ID, String.valueOf(id)));
    }

    private static String accountName(Account account) {
        return HeaderText.encode(account.name())
                .orElseThrow(() -> new InvalidArgumentException("account name cannot be sent"));
    }

    private static String chain(EngineChain chain) {
        return chain.hops().stream()
                .map(hop -> hop.engine().address() + "=" + hop.range())
                .collect(Collectors.joining(","));
    }

    @Override
    public EndpointReply decodeReply(int status, MultiMap headers) {
        return new EndpointReply(
                status,
                status == MISDIRECTED || (status >= CLIENT_ERROR && headers.contains(NOT_EXECUTED)),
                headers.contains(SIGNATURE),
                Optional.ofNullable(headers.get(ATTEMPT_ID)),
                Optional.ofNullable(headers.get(FAULT_ADDRESS)).flatMap(PlatformHeaders::address),
                decodeNotice(status, headers));
    }

    /**
     * Decodes what an endpoint says about itself. An answer with status 421 may come from another
     * endpoint that has taken over the address, so it says nothing.
     */
    EndpointNotice decodeNotice(int status, MultiMap headers) {
        if (status == MISDIRECTED) {
            return EndpointNotice.NONE;
        }
        boolean shuttingDown = "1".equals(headers.get(SHUTTING_DOWN));
        Optional<Duration> pause =
                status == UNAVAILABLE
                        ? Optional.ofNullable(headers.get(RETRY_AFTER)).flatMap(this::pause)
                        : Optional.empty();
        return new EndpointNotice(shuttingDown, pause, limit(headers));
    }

    /**
     * Decodes a limit. The smallest of several counts; an answer with a malformed one, or without
     * the endpoint's signature, does not show that a limit is lifted.
     */
    private LimitNotice limit(MultiMap headers) {
        List<String> texts = headers.getAll(RATE_LIMIT);
        if (texts.isEmpty()) {
            return headers.contains(SIGNATURE)
                    ? new LimitNotice.Unlimited()
                    : new LimitNotice.Unsaid();
        }
        OptionalDouble least =
                texts.stream()
                        .flatMap(text -> Stream.of(text.split(",", -1)))
                        .flatMapToDouble(text -> decimal(text).stream())
                        .min();
        return least.isPresent()
                ? new LimitNotice.Limited(least.getAsDouble())
                : new LimitNotice.Unsaid();
    }

    private Optional<Duration> pause(String text) {
        OptionalDouble seconds = decimal(text);
        if (seconds.isEmpty()) {
            return Optional.empty();
        }
        long millis = (long) Math.min(seconds.getAsDouble() * MILLIS_PER_SECOND, MAX_PAUSE_MILLIS);
        return Optional.of(Duration.ofMillis(millis)).filter(Duration::isPositive);
    }

    /** Decodes a finite number that is not negative; counts what is none. */
    private OptionalDouble decimal(String text) {
        try {
            double value = Double.parseDouble(text.strip());
            if (Double.isFinite(value) && value >= 0) {
                return OptionalDouble.of(value);
            }
        } catch (NumberFormatException e) {
            // counted below
        }
        meters.counter("hyssopturn.endpoint.notices", "notice", "malformed").increment();
        return OptionalDouble.empty();
    }

    private static Optional<Address> address(String text) {
        try {
            return Optional.of(Address.parse(text));
        } catch (InvalidArgumentException e) {
            return Optional.empty();
        }
    }
}
