package hyssopturn.place;

import java.util.Collection;

/**
 * How good a placement is; the greater the better.
 *
 * @param uncovered number of layers without a holder
 * @param singleZone number of layers whose holders stand in one zone
 * @param value lowest rate over models for each unit of demand, less if tokens would be late
 */
record Score(int uncovered, int singleZone, double value) implements Comparable<Score> {
    static Score of(Collection<Layout> layouts, Links links) {
        int uncovered = layouts.stream().mapToInt(Layout::uncovered).sum();
        int singleZone = layouts.stream().mapToInt(Layout::singleZone).sum();
        double rate =
                layouts.stream()
                        .mapToDouble(l -> l.tokensPerSecond() / l.demand().weight())
                        .min()
                        .orElse(0);
        double late = uncovered > 0 ? 1 : Math.max(1, TokenTime.lateness(layouts, links));
        return new Score(uncovered, singleZone, rate / late);
    }

    @Override
    public int compareTo(Score other) {
        if (uncovered != other.uncovered) {
            return Integer.compare(other.uncovered, uncovered);
        }
        if (singleZone != other.singleZone) {
            return Integer.compare(other.singleZone, singleZone);
        }
        return Double.compare(value, other.value);
    }

    /** Tells whether a change to this placement is worth its loads. */
    boolean worthLeaving(Score present, double gain) {
        if (uncovered != present.uncovered || singleZone != present.singleZone) {
            return compareTo(present) > 0;
        }
        return value > present.value * gain;
    }
}
