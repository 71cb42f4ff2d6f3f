package hyssopturn.bench;

import hyssopturn.model.Zone;

import java.util.List;

/**
 * One user's installation: zones, sizes and classes of work.
 *
 * @param name its name
 * @param zones zones that nodes and endpoints stand in
 * @param nodes number of nodes
 * @param engines number of model engines
 * @param services number of instances of the plain service
 * @param service name of the plain service
 * @param accounts number of accounts
 * @param loads classes of work
 */
record Site(
        String name,
        List<Zone> zones,
        int nodes,
        int engines,
        int services,
        String service,
        int accounts,
        List<ClassLoad> loads) {
    static final String MODEL = "atelier";
    static final int LAYERS = 12;
    static final int STAGES = 3;
    private static final int NODES = 7;
    private static final int ENGINES = 40;
    private static final int SERVICES = 3;
    private static final int ACCOUNTS = 10;
    private static final long BETWEEN_MILLIS = 200;

    /** What callers of one class send. */
    sealed interface ClassLoad {
        /** Returns the name of the class. */
        String name();

        /** Returns the share of arrivals. */
        double share();
    }

    /**
     * Prompts with lengths that follow a log-normal distribution.
     *
     * @param name name of the class
     * @param share share of arrivals
     * @param promptMedian median length of a prompt, in tokens
     * @param answerMedian median of the allowed length of an answer, in tokens
     * @param firstMillis target for the first token
     * @param betweenMillis target between tokens
     */
    record Prompts(
            String name,
            double share,
            int promptMedian,
            int answerMedian,
            long firstMillis,
            long betweenMillis)
            implements ClassLoad {}

    /**
     * Calls of the plain service.
     *
     * @param name name of the class
     * @param share share of arrivals
     * @param repeatable true if calls may run twice
     * @param answerMillis target for the answer
     */
    record Calls(String name, double share, boolean repeatable, long answerMillis)
            implements ClassLoad {}

    /** Returns the workshop's installation. */
    static Site workshop() {
        return new Site(
                "workshop",
                zones("chimaltenango", "bench", "pack", "office"),
                NODES,
                ENGINES,
                SERVICES,
                "dispatch",
                ACCOUNTS,
                List.of(
                        new Prompts("cutting-sheet", 0.45, 80, 48, 1_500, BETWEEN_MILLIS),
                        new Prompts("quality-note", 0.25, 40, 32, 1_000, BETWEEN_MILLIS),
                        new Prompts("reseller-question", 0.2, 30, 24, 800, BETWEEN_MILLIS),
                        new Calls("shipment-booking", 0.1, false, 2_000)));
    }

    /** Returns the haven's installation. */
    static Site haven() {
        return new Site(
                "haven",
                zones("trinidad", "couva", "arima", "penal"),
                NODES,
                ENGINES,
                SERVICES,
                "herd-book",
                ACCOUNTS,
                List.of(
                        new Prompts("adopter-letter", 0.6, 60, 40, 1_000, BETWEEN_MILLIS),
                        new Calls("record-lookup", 0.3, true, 300),
                        new Calls("adoption-fee", 0.1, false, 2_000)));
    }

    private static List<Zone> zones(String region, String... names) {
        return List.of(names).stream().map(n -> new Zone(region, n)).toList();
    }

    /** Writes the configuration document. */
    String document() {
        StringBuilder text = new StringBuilder("format: 1\nmodels:\n");
        text.append("  %s:\n    version: \"1\"\n".formatted(MODEL));
        text.append("    layers: %d\n    layer-bytes: 64MiB\nclasses:\n".formatted(LAYERS));
        for (ClassLoad load : loads) {
            text.append("  %s:\n    share: 0.95\n".formatted(load.name()));
            text.append(
                    switch (load) {
                        case Prompts p ->
                                "    model: %s\n    first-token: %dms\n    between-tokens: %dms\n"
                                        .formatted(MODEL, p.firstMillis(), p.betweenMillis());
                        case Calls c ->
                                "    service: %s\n    repeatable: %s\n    answer: %dms\n"
                                        .formatted(service, c.repeatable(), c.answerMillis());
                    });
        }
        return text.toString();
    }
}
