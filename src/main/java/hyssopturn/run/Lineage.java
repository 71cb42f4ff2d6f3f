package hyssopturn.run;

import hyssopturn.helper.Check;
import hyssopturn.model.Bytes;
import hyssopturn.route.Chain;
import hyssopturn.run.Activations.Slice;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The accepted part of a run: its tokens, its stages and how far each of them has come. */
final class Lineage {
    private final Activations activations;
    private long[] ids;
    private int end;
    private List<Place> places = List.of();
    private int cursor;
    private int carryLayer;
    private Slice carry;

    Lineage(Prompt prompt, ActivationBudget budget) {
        ids = prompt.ids();
        end = ids.length;
        activations = new Activations(budget);
    }

    boolean begun() {
        return !places.isEmpty();
    }

    List<Place> places() {
        return places;
    }

    int cursor() {
        return cursor;
    }

    Place current() {
        return places.get(cursor);
    }

    /** Number of positions that the current wave must reach at every stage. */
    int end() {
        return end;
    }

    boolean atLast() {
        return cursor == places.size() - 1;
    }

    void adopt(List<Place> newPlaces, int newCursor) {
        places = List.copyOf(newPlaces);
        cursor = newCursor;
        Set<Integer> boundaries =
                places.stream().map(p -> p.layers().from()).collect(Collectors.toSet());
        activations.retain(boundaries);
    }

    /** Input of the current stage from the first position that it lacks on. */
    Optional<Bytes> input() {
        int from = current().have();
        int layer = current().layers().from();
        if (layer == 0) {
            return Optional.of(Prompt.pack(Arrays.copyOfRange(ids, from, end)));
        }
        if (carries(layer, from)) {
            return Optional.of(carry.from(from).bytes());
        }
        return activations.read(layer, from, end).map(Slice::bytes);
    }

    private boolean carries(int layer, int from) {
        return carry != null
                && carryLayer == layer
                && carry.position() <= from
                && carry.end() == end;
    }

    /** Tells whether all inputs of a stage from position 0 on are at hand. */
    boolean replayable(int stage) {
        int layer = places.get(stage).layers().from();
        return layer == 0 || carries(layer, 0) || activations.whole(layer, end);
    }

    /** Takes the output of the current stage and goes on to the next one if there is one. */
    void accept(Bytes output) {
        Place done = current();
        Slice slice = new Slice(done.have(), end - done.have(), output);
        List<Place> next = new java.util.ArrayList<>(places);
        next.set(cursor, done.with(end));
        places = List.copyOf(next);
        if (atLast()) {
            return;
        }
        cursor++;
        carryLayer = done.layers().to();
        carry = slice;
        activations.keep(carryLayer, slice);
    }

    /** Takes a token and goes back to the first stage. */
    void append(long id) {
        Check.that(end <= ids.length, "tokens must be consecutive");
        if (end == ids.length) {
            ids = Arrays.copyOf(ids, ids.length * 2);
        }
        ids[end] = id;
        end++;
        cursor = 0;
        carry = null;
    }

    void forget() {
        activations.retain(Set.of());
        carry = null;
    }

    Set<hyssopturn.model.InstanceId> enginesBut(int stage) {
        Set<hyssopturn.model.InstanceId> others = new HashSet<>();
        for (int i = 0; i < places.size(); i++) {
            if (i != stage) {
                others.add(places.get(i).engine());
            }
        }
        return others;
    }

    String describe(hyssopturn.model.ModelId model) {
        return new Chain(model, places.stream().map(Place::stage).toList()).describe();
    }
}
