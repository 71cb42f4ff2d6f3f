package hyssopturn.bench;

import hyssopturn.config.ConfigDocument;
import hyssopturn.filter.Credentials;
import hyssopturn.filter.Exchange;
import hyssopturn.model.AccountId;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.Config;
import hyssopturn.model.ModelSpec;
import hyssopturn.run.Prompt;
import hyssopturn.standin.ReferenceModel;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * Makes the schedule of arrivals: Poisson with groups, heavy-tailed lengths, a few large accounts.
 */
final class Arrivals {
    static final double PROMPT_TOKEN_COST = 0.1;
    private static final double SIGMA = 0.8;
    private static final int MAX_PROMPT = 1_000;
    private static final int MAX_ANSWER = 400;
    private static final int SAMPLES = 3_000;
    private static final double GROUP_ODDS = 0.05;
    private static final int GROUP_MORE = 3;
    private static final long GROUP_NANOS = 20_000_000;
    private static final double[] LARGE = {0.25, 0.2, 0.15};
    private static final double NANOS_PER_SECOND = 1e9;

    private final Site site;
    private final Scenario scenario;
    private final Config config;
    private final ModelSpec model;
    private final Credentials credentials = new Credentials("trial-accounts");
    private final Random random;
    private long keys;

    private Arrivals(Site site, Scenario scenario, long seed) {
        this.site = site;
        this.scenario = scenario;
        config = ConfigDocument.parse(site.document(), 1);
        model = config.model(Site.MODEL).orElseThrow();
        random = new Random(seed);
    }

    /**
     * Makes a schedule.
     *
     * @param capacity work that the bound allows, in units a second
     */
    static List<Arrival> schedule(Site site, Scenario scenario, double capacity, long seed) {
        double mean = new Arrivals(site, scenario, seed + 1).meanWork();
        double perSecond = scenario.ratio() * capacity / mean;
        List<Arrival> all = new Arrivals(site, scenario, seed).usual(perSecond);
        if (scenario.flood()) {
            all.addAll(new Arrivals(site, scenario, seed + 2).flood(capacity / mean));
        }
        all.sort(Comparator.comparingLong(Arrival::atNanos));
        return List.copyOf(all);
    }

    private double meanWork() {
        double sum = 0;
        for (int i = 0; i < SAMPLES; i++) {
            sum += arrival(0, usualAccount(), false).work();
        }
        return sum / SAMPLES;
    }

    private List<Arrival> usual(double perSecond) {
        List<Arrival> all = new ArrayList<>();
        double groups = perSecond / (1 + GROUP_ODDS * GROUP_MORE);
        double most = groups * scenario.burst();
        long end = scenario.length().toNanos();
        for (long at = gap(most); at < end; at += gap(most)) {
            if (random.nextDouble() * most > groups * factor(at)) {
                continue;
            }
            AccountId account = usualAccount();
            all.add(arrival(at, account, false));
            int more = random.nextDouble() < GROUP_ODDS ? GROUP_MORE : 0;
            for (int i = 1; i <= more; i++) {
                all.add(arrival(at + i * GROUP_NANOS, account, false));
            }
        }
        return all;
    }

    private List<Arrival> flood(double perSecond) {
        List<Arrival> all = new ArrayList<>();
        AccountId account = new AccountId("account-0");
        long end = scenario.length().toNanos();
        for (long at = gap(perSecond); at < end; at += gap(perSecond)) {
            all.add(arrival(at, account, true));
        }
        return all;
    }

    private double factor(long at) {
        boolean burst = at >= Scenario.BURST_FROM.toNanos() && at < Scenario.BURST_TO.toNanos();
        return burst ? scenario.burst() : 1;
    }

    private long gap(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND) + 1;
    }

    private AccountId usualAccount() {
        double draw = random.nextDouble();
        for (int i = 0; i < LARGE.length; i++) {
            draw -= LARGE[i];
            if (draw < 0) {
                return new AccountId("account-" + i);
            }
        }
        int small = site.accounts() - LARGE.length;
        return new AccountId("account-" + (LARGE.length + random.nextInt(small)));
    }

    private Site.ClassLoad load() {
        double draw = random.nextDouble();
        for (Site.ClassLoad load : site.loads()) {
            draw -= load.share();
            if (draw < 0) {
                return load;
            }
        }
        return site.loads().getFirst();
    }

    private Arrival arrival(long at, AccountId account, boolean flooding) {
        Site.ClassLoad load = load();
        ClassName name = new ClassName(load.name());
        Optional<String> bearer = Optional.of(credentials.token(account));
        return switch (load) {
            case Site.Prompts prompts -> {
                String text = words(length(prompts.promptMedian(), MAX_PROMPT));
                int max = length(prompts.answerMedian(), MAX_ANSWER);
                Prompt prompt = Prompt.of(text);
                int tokens = ReferenceModel.generate(model, prompt.ids(), max).size();
                yield new Arrival(
                        at,
                        config.workClass(name).orElseThrow(),
                        account,
                        new Exchange.Call(
                                name, bearer, Optional.empty(), new Exchange.Input.Text(text, max)),
                        tokens,
                        PROMPT_TOKEN_COST * prompt.size() + tokens - 1,
                        flooding,
                        random.nextInt(Integer.MAX_VALUE));
            }
            case Site.Calls calls -> {
                String key = "key-" + flooding + "-" + keys++;
                yield new Arrival(
                        at,
                        config.workClass(name).orElseThrow(),
                        account,
                        new Exchange.Call(
                                name,
                                bearer,
                                Optional.of(key),
                                new Exchange.Input.Json(Bytes.utf8("{}"))),
                        0,
                        0,
                        flooding,
                        random.nextInt(Integer.MAX_VALUE));
            }
        };
    }

    private int length(int median, int max) {
        double value = median * Math.exp(SIGMA * random.nextGaussian());
        return (int) Math.clamp(value, 1, max);
    }

    private String words(int count) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            text.append('w').append(random.nextInt(10_000)).append(' ');
        }
        return text.toString();
    }
}
