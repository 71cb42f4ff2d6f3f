package hyssopturn.chain;

import hyssopturn.helper.Check;
import hyssopturn.model.InstanceId;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/**
 * Engines that together run every layer of a model once and in order.
 *
 * @param hops the engines in order
 */
public record EngineChain(List<Hop> hops) {
    /**
     * Checks that each hop begins where the one before it ends, and that no engine occurs twice.
     */
    public EngineChain {
        hops = List.copyOf(hops);
        int next = 0;
        for (Hop hop : hops) {
            Check.that(hop.range().from() == next, "hops must be contiguous");
            next = hop.range().to();
        }
        long engines = hops.stream().map(h -> h.engine().id()).distinct().count();
        Check.that(engines == hops.size(), "an engine must not occur twice in a chain");
    }

    /**
     * Returns the first hop, which requests are sent to.
     *
     * @return the hop
     */
    public Hop first() {
        return hops.getFirst();
    }

    /**
     * Lists the links between availability zones that activations pass.
     *
     * @return the links in order; a link that is passed twice is listed twice
     */
    public List<ZoneLink> links() {
        List<ZoneLink> links = new ArrayList<>();
        for (int i = 1; i < hops.size(); i++) {
            String from = hops.get(i - 1).engine().zone();
            String to = hops.get(i).engine().zone();
            if (!from.equals(to)) {
                links.add(ZoneLink.between(from, to));
            }
        }
        return links;
    }

    /**
     * Counts the transitions between availability zones.
     *
     * @return number of consecutive hops in different zones
     */
    public int crossings() {
        return links().size();
    }

    /**
     * Returns which zones the chain's engines are in, as it is written to the log.
     *
     * @param own availability zone of this node
     * @return {@code own zone}, {@code other zone} or {@code several zones}
     */
    public String reach(String own) {
        if (crossings() > 0) {
            return "several zones";
        }
        return first().engine().zone().equals(own) ? "own zone" : "other zone";
    }

    /**
     * Returns whether an engine is part of the chain.
     *
     * @param engine the engine
     * @return true if it is
     */
    public boolean uses(InstanceId engine) {
        return hops.stream().anyMatch(h -> h.engine().id().equals(engine));
    }

    @Override
    public String toString() {
        return hops.stream()
                .map(h -> h.engine().id() + "=" + h.range())
                .collect(Collectors.joining(","));
    }
}
