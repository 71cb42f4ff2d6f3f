package hyssopturn.bench;

import hyssopturn.admit.AdmitSettings;
import hyssopturn.admit.LimitKind;
import hyssopturn.admit.Policy;

import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One way to run the nodes.
 *
 * @param name its name
 * @param admit settings of admission
 */
record Variant(String name, AdmitSettings admit) {
    private static final Pattern FIXED = Pattern.compile("fair-fixed-([1-9][0-9]{0,4})");

    static List<Variant> all() {
        return List.of(
                new Variant("naive", AdmitSettings.of(Policy.OPEN, LimitKind.FIXED)),
                new Variant("fifo", AdmitSettings.of(Policy.FIFO, LimitKind.GRADIENT)),
                new Variant("edf", AdmitSettings.of(Policy.DEADLINE, LimitKind.GRADIENT)),
                new Variant("edf-feasible", AdmitSettings.of(Policy.FEASIBLE, LimitKind.GRADIENT)),
                new Variant("goodput", AdmitSettings.of(Policy.GOODPUT, LimitKind.GRADIENT)),
                new Variant("fair", AdmitSettings.standard()),
                named("fair-fixed-80").orElseThrow(),
                new Variant("fair-aimd", AdmitSettings.of(Policy.FAIR, LimitKind.AIMD)));
    }

    /** Finds a variant; {@code fair-fixed-N} is fair order under a fixed limit of N a node. */
    static Optional<Variant> named(String name) {
        Matcher fixed = FIXED.matcher(name);
        if (fixed.matches()) {
            int limit = Integer.parseInt(fixed.group(1));
            AdmitSettings usual = AdmitSettings.standard();
            return Optional.of(
                    new Variant(
                            name,
                            new AdmitSettings(
                                    Policy.FAIR,
                                    LimitKind.FIXED,
                                    limit,
                                    usual.maxLimit(),
                                    usual.queueCapacity())));
        }
        return all().stream().filter(v -> v.name().equals(name)).findFirst();
    }
}
