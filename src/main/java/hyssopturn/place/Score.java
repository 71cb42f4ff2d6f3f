package hyssopturn.place;

import java.util.Collection;

/**
 * Quality of a placement; a greater score is better.
 *
 * @param uncovered number of layers without a holder
 * @param singleZone number of layers whose holders are all in one zone
 * @param value lowest rate of a model relative to its demand, reduced if tokens would be late
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

    /** Returns whether this score is so much better that it justifies the loads of a change. */
    boolean justifiesChange(Score current, double minGain) {
        if (uncovered != current.uncovered || singleZone != current.singleZone) {
            return compareTo(current) > 0;
        }
        return value > current.value * minGain;
    }
}
