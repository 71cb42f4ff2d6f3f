package hyssopturn.standin;

import hyssopturn.model.Bytes;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;

import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;

/** Cached state of one request at a stand-in engine: a running hash for each layer and position. */
final class RunState {
    private static final int FIRST_CAPACITY = 64;

    private final ModelId model;
    private final LayerRange layers;
    private final long[][] histories;
    private final Map<Integer, Bytes> inputs = new TreeMap<>();
    private final Map<Integer, Bytes> outputs = new TreeMap<>();
    private int position;
    private int attempt;

    RunState(ModelId model, LayerRange layers, int attempt) {
        this.model = model;
        this.layers = layers;
        this.attempt = attempt;
        histories = new long[layers.size()][FIRST_CAPACITY];
    }

    ModelId model() {
        return model;
    }

    LayerRange layers() {
        return layers;
    }

    int position() {
        return position;
    }

    int attempt() {
        return attempt;
    }

    void attempt(int number) {
        attempt = number;
    }

    /** Finds the result of a step that ran before with the same input. */
    Bytes known(int at, Bytes input) {
        return input.equals(inputs.get(at)) ? outputs.get(at) : null;
    }

    /** Forgets all positions from one on. */
    void truncate(int to) {
        position = Math.min(position, to);
        inputs.keySet().removeIf(at -> at >= to);
        outputs.keySet().removeIf(at -> at >= to);
    }

    Bytes run(Bytes input) {
        int at = position;
        long[] values = ReferenceModel.unpack(input);
        for (int i = 0; i < values.length; i++) {
            values[i] = runOne(values[i]);
        }
        Bytes output = ReferenceModel.pack(values);
        inputs.put(at, input);
        outputs.put(at, output);
        return output;
    }

    private long runOne(long input) {
        long value = input;
        for (int i = 0; i < histories.length; i++) {
            int layer = layers.from() + i;
            long before =
                    position == 0
                            ? ReferenceModel.mix(model.hashCode(), layer)
                            : histories[i][position - 1];
            long state = ReferenceModel.mix(before, value);
            histories[i] = ensure(histories[i], position);
            histories[i][position] = state;
            value = ReferenceModel.mix(state, layer);
        }
        position++;
        return value;
    }

    Bytes export(LayerRange wanted) {
        long[] all = new long[wanted.size() * position];
        int next = 0;
        for (int layer = wanted.from(); layer < wanted.to(); layer++) {
            System.arraycopy(histories[layer - layers.from()], 0, all, next, position);
            next += position;
        }
        return ReferenceModel.pack(all);
    }

    void restore(int to, Bytes data) {
        long[] all = ReferenceModel.unpack(data);
        for (int i = 0; i < histories.length; i++) {
            histories[i] = Arrays.copyOfRange(all, i * to, (i + 1) * to);
        }
        position = to;
    }

    private static long[] ensure(long[] array, int index) {
        return index < array.length
                ? array
                : Arrays.copyOf(array, Math.max(index + 1, array.length * 2));
    }
}
