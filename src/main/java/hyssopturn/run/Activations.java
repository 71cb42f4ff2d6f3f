package hyssopturn.run;

import hyssopturn.model.Bytes;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Activations of one run at the boundaries between its stages, kept from position 0 on. */
final class Activations {
    private final ActivationBudget budget;
    private final Map<Integer, Boundary> boundaries = new HashMap<>();

    Activations(ActivationBudget budget) {
        this.budget = budget;
    }

    /** Activations of consecutive tokens. */
    record Slice(int position, int count, Bytes bytes) {
        int end() {
            return position + count;
        }

        Slice startingAt(int start) {
            if (start == position) {
                return this;
            }
            int width = bytes.size() / count;
            byte[] all = bytes.toArray();
            int skip = (start - position) * width;
            byte[] rest = java.util.Arrays.copyOfRange(all, skip, all.length);
            return new Slice(start, end() - start, Bytes.wrap(rest));
        }
    }

    private static final class Boundary {
        private final List<Slice> slices = new ArrayList<>();
        private long bytes;

        int end() {
            return slices.isEmpty() ? 0 : slices.getLast().end();
        }
    }

    /**
     * Adds a slice, or drops the whole boundary if the slice leaves a gap or exceeds the budget.
     */
    void add(int layer, Slice slice) {
        Boundary boundary = boundaries.computeIfAbsent(layer, l -> new Boundary());
        truncate(boundary, slice.position());
        boolean follows = boundary.end() == slice.position();
        if (!follows || !budget.reserve(slice.bytes().size())) {
            drop(layer);
            return;
        }
        boundary.slices.add(slice);
        boundary.bytes += slice.bytes().size();
    }

    private void truncate(Boundary boundary, int position) {
        while (boundary.end() > position) {
            Slice last = boundary.slices.removeLast();
            boundary.bytes -= last.bytes().size();
            budget.release(last.bytes().size());
        }
    }

    /** Returns whether all positions before an end are kept at the boundary before a layer. */
    boolean isComplete(int layer, int end) {
        Boundary boundary = boundaries.get(layer);
        return boundary != null && boundary.end() == end;
    }

    /**
     * Returns the activations between two positions; empty unless all positions before the end are
     * kept.
     */
    Optional<Slice> read(int layer, int from, int end) {
        if (!isComplete(layer, end)) {
            return Optional.empty();
        }
        ByteArrayOutputStream joined = new ByteArrayOutputStream();
        for (Slice slice : boundaries.get(layer).slices) {
            if (slice.end() > from) {
                Slice part = slice.startingAt(Math.max(from, slice.position()));
                joined.writeBytes(part.bytes().toArray());
            }
        }
        return Optional.of(new Slice(from, end - from, Bytes.wrap(joined.toByteArray())));
    }

    /** Drops all boundaries except those before the given layers. */
    void retainOnly(Set<Integer> layers) {
        List.copyOf(boundaries.keySet()).stream()
                .filter(layer -> !layers.contains(layer))
                .forEach(this::drop);
    }

    private void drop(int layer) {
        budget.release(boundaries.remove(layer).bytes);
    }
}
