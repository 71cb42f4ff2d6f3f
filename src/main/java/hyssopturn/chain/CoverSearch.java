package hyssopturn.chain;

import hyssopturn.catalog.EngineSpec;
import hyssopturn.fleet.Endpoint;
import hyssopturn.model.LayerRange;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Finds the cheapest changes by which engines together hold every layer, each with memory for a
 * number of requests beside its layers.
 *
 * <p>The search is a dynamic program over the layers. Engines that hold layers are visited in the
 * order of these; each may be left out, keep its layers, or hold others that continue those of the
 * engines before it and overlap its own. Many engines may so move by a layer or two, where no
 * single move helps. A few engines are free: those without layers, and those of which all layers
 * have further copies. A free engine may be used anywhere.
 */
final class CoverSearch {
    /** Cost of changing an engine besides the layers to load, in layers. */
    private static final double CHANGE_COST = 1;

    /** Cost of a layer that an engine gives up, in layers; running requests hold it up. */
    private static final double DROP_COST = 0.25;

    /** Greatest number of free engines; the time of a search doubles with each. */
    private static final int MAX_FREE = 5;

    /** Greatest number of free engines that hold layers. */
    private static final int MAX_FREE_HOLDING = 2;

    private final EngineSpec spec;
    private final double requests;
    private final int[] copies;
    private final List<Member> members = new ArrayList<>();
    private final List<Member> free = new ArrayList<>();

    /**
     * Prepares a search.
     *
     * @param spec sizes and speeds of the engines
     * @param requests requests of mean size that each engine should have memory for
     * @param engines the engines, those that hold layers in the order in which a chain visits them
     */
    CoverSearch(EngineSpec spec, double requests, List<Endpoint> engines) {
        this.spec = spec;
        this.requests = requests;
        copies = copies(spec, engines);
        List<Endpoint> movable = movable(engines);
        for (Endpoint engine : engines) {
            int freeIndex = movable.indexOf(engine);
            Member member =
                    new Member(
                            engine,
                            engine.layers().map(LayerRange::from).orElse(0),
                            engine.layers().map(LayerRange::to).orElse(0),
                            capacity(engine),
                            freeIndex < 0 ? 0 : 1 << freeIndex);
            if (freeIndex >= 0) {
                free.add(member);
            }
            if (engine.layers().isPresent()) {
                members.add(member);
            }
        }
    }

    /**
     * Returns the free engines: those without layers, then some of which all layers have copies.
     */
    private List<Endpoint> movable(List<Endpoint> engines) {
        Comparator<Endpoint> largest =
                Comparator.comparing((Endpoint e) -> -capacity(e)).thenComparing(Endpoint::id);
        Stream<Endpoint> empty = engines.stream().filter(e -> e.layers().isEmpty()).sorted(largest);
        Stream<Endpoint> spare =
                engines.stream()
                        .filter(e -> spareCopies(e) > 0)
                        .sorted(
                                Comparator.comparing((Endpoint e) -> -spareCopies(e))
                                        .thenComparing(largest))
                        .limit(MAX_FREE_HOLDING);
        return Stream.concat(empty, spare).limit(MAX_FREE).toList();
    }

    /**
     * An engine, the layers that it holds (none if both ends are 0), the most layers that it should
     * hold, and the bit that marks it if it is free.
     */
    private record Member(Endpoint engine, int heldFrom, int heldTo, int capacity, int bit) {
        double costOf(int from, int to) {
            if (from == heldFrom && to == heldTo) {
                return 0;
            }
            int kept = Math.max(0, Math.min(to, heldTo) - Math.max(from, heldFrom));
            int dropped = heldTo - heldFrom - kept;
            return CHANGE_COST + to - from - kept + DROP_COST * dropped;
        }

        boolean holdsLayers() {
            return heldTo > heldFrom;
        }

        boolean changes(int from, int to) {
            return from != heldFrom || to != heldTo;
        }
    }

    /**
     * The cheapest way to hold the layers below one, with the free engines that it uses, and the
     * layers from which on its last engine holds them.
     */
    private record Label(
            int layer, int used, double cost, Member member, int from, Label previous) {
        private static final Label START = new Label(0, 0, 0, null, 0, null);
    }

    /**
     * Changes that make engines hold every layer.
     *
     * @param ranges the layers that each changed engine should hold
     * @param loadedLayers number of layers that they load together
     */
    record Cover(Map<Endpoint, LayerRange> ranges, int loadedLayers) {
        /** No change. */
        static final Cover NONE = new Cover(Map.of(), 0);
    }

    private static int[] copies(EngineSpec spec, List<Endpoint> engines) {
        int[] copies = new int[spec.layers()];
        for (Endpoint engine : engines) {
            engine.layers()
                    .ifPresent(
                            r -> {
                                for (int layer = r.from(); layer < r.to(); layer++) {
                                    copies[layer]++;
                                }
                            });
        }
        return copies;
    }

    private int spareCopies(Endpoint engine) {
        return engine.layers()
                .map(r -> Arrays.stream(copies, r.from(), r.to()).min().orElse(1) - 1)
                .orElse(0);
    }

    private int capacity(Endpoint engine) {
        return EngineGroup.capacity(spec, engine, requests);
    }

    /** Returns the cheapest cover, empty if there is none. */
    Optional<Cover> cheapest() {
        Label[][] best = new Label[spec.layers() + 1][1 << MAX_FREE];
        best[0][0] = Label.START;
        for (Member member : members) {
            useFree(best);
            best = useOnce(member, best);
        }
        useFree(best);
        return Arrays.stream(best[spec.layers()])
                .filter(label -> label != null)
                .min(Comparator.comparingDouble(Label::cost))
                .map(CoverSearch::cover);
    }

    /** Extends the labels by free engines that they do not use; labels get longer, so one pass. */
    private void useFree(Label[][] best) {
        for (int layer = 0; layer < spec.layers(); layer++) {
            for (int used = 0; used < best[layer].length; used++) {
                Label label = best[layer][used];
                if (label == null) {
                    continue;
                }
                for (Member member : free) {
                    if ((used & member.bit) == 0) {
                        extend(label, member, label.layer + 1, best);
                    }
                }
            }
        }
    }

    /** Extends the labels by an engine that holds layers, which it keeps or shifts. */
    private Label[][] useOnce(Member member, Label[][] best) {
        Label[][] next = new Label[best.length][];
        Arrays.setAll(next, layer -> best[layer].clone());
        int first = Math.max(0, member.heldFrom - member.capacity + 1);
        int last = Math.min(member.heldTo, spec.layers()) - 1;
        for (int layer = first; layer <= last; layer++) {
            for (Label label : best[layer]) {
                if (label != null && (label.used & member.bit) == 0) {
                    keep(label, member, next);
                    extend(label, member, Math.max(layer, member.heldFrom) + 1, next);
                }
            }
        }
        return next;
    }

    private static void keep(Label label, Member member, Label[][] best) {
        boolean fits = member.heldTo - member.heldFrom <= member.capacity;
        if (fits && member.heldFrom <= label.layer && member.heldTo > label.layer) {
            add(label, member, member.heldFrom, member.heldTo, best);
        }
    }

    /**
     * Continues a label by several numbers of layers, from the layer where it ends or an earlier
     * one.
     */
    private void extend(Label label, Member member, int firstEnd, Label[][] best) {
        int last = Math.min(spec.layers(), label.layer + member.capacity);
        for (int end = firstEnd; end <= last; end++) {
            add(label, member, label.layer, end, best);
            int from = Math.max(member.heldFrom, end - member.capacity);
            if (member.holdsLayers() && from < label.layer) {
                add(label, member, from, end, best);
            }
        }
    }

    private static void add(Label label, Member member, int from, int to, Label[][] best) {
        int used = label.used | member.bit;
        double cost = label.cost + member.costOf(from, to);
        Label known = best[to][used];
        if (known == null || cost < known.cost) {
            best[to][used] = new Label(to, used, cost, member, from, label);
        }
    }

    private static Cover cover(Label end) {
        Map<Endpoint, LayerRange> ranges = new LinkedHashMap<>();
        int loaded = 0;
        for (Label label = end; label.previous != null; label = label.previous) {
            Member member = label.member;
            if (member.changes(label.from, label.layer)) {
                LayerRange range = new LayerRange(label.from, label.layer);
                ranges.put(member.engine, range);
                loaded += range.size() - member.engine.layers().map(range::overlap).orElse(0);
            }
        }
        return new Cover(ranges, loaded);
    }
}
