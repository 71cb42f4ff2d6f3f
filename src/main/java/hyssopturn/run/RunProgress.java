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

/**
 * The accepted progress of a run: its tokens, the stages of its chain and the number of tokens that
 * each stage has cached.
 */
final class RunProgress {
    private final Activations activations;
    private long[] ids;
    private int end;
    private List<RunStage> stages = List.of();
    private int cursor;
    private int lastOutputLayer;
    private Slice lastOutput;

    RunProgress(Prompt prompt, ActivationBudget budget) {
        ids = prompt.ids();
        end = ids.length;
        activations = new Activations(budget);
    }

    boolean hasStages() {
        return !stages.isEmpty();
    }

    List<RunStage> stages() {
        return stages;
    }

    int cursor() {
        return cursor;
    }

    RunStage current() {
        return stages.get(cursor);
    }

    /** Returns the number of tokens that every stage must have processed in the current pass. */
    int end() {
        return end;
    }

    boolean atLastStage() {
        return cursor == stages.size() - 1;
    }

    void setStages(List<RunStage> newStages, int newCursor) {
        stages = List.copyOf(newStages);
        cursor = newCursor;
        Set<Integer> boundaries =
                stages.stream().map(p -> p.layers().from()).collect(Collectors.toSet());
        activations.retainOnly(boundaries);
    }

    /**
     * Returns the input of the current stage, starting at the first token that the stage has not
     * cached; empty if the activations are not kept.
     */
    Optional<Bytes> input() {
        int from = current().cachedTokens();
        int layer = current().layers().from();
        if (layer == 0) {
            return Optional.of(Prompt.pack(Arrays.copyOfRange(ids, from, end)));
        }
        if (lastOutputCovers(layer, from)) {
            return Optional.of(lastOutput.startingAt(from).bytes());
        }
        return activations.read(layer, from, end).map(Slice::bytes);
    }

    private boolean lastOutputCovers(int layer, int from) {
        return lastOutput != null
                && lastOutputLayer == layer
                && lastOutput.position() <= from
                && lastOutput.end() == end;
    }

    /** Returns whether the input of a stage is available from position 0 on. */
    boolean replayable(int stage) {
        int layer = stages.get(stage).layers().from();
        return layer == 0 || lastOutputCovers(layer, 0) || activations.isComplete(layer, end);
    }

    /** Accepts the output of the current stage and advances to the next stage, if there is one. */
    void acceptOutput(Bytes output) {
        RunStage done = current();
        Slice slice = new Slice(done.cachedTokens(), end - done.cachedTokens(), output);
        List<RunStage> updated = new java.util.ArrayList<>(stages);
        updated.set(cursor, done.withCachedTokens(end));
        stages = List.copyOf(updated);
        if (atLastStage()) {
            return;
        }
        cursor++;
        lastOutputLayer = done.layers().to();
        lastOutput = slice;
        activations.add(lastOutputLayer, slice);
    }

    /** Appends a generated token and returns to the first stage. */
    void appendToken(long id) {
        Check.that(
                end <= ids.length,
                "the last token must be processed before the next one is appended");
        if (end == ids.length) {
            ids = Arrays.copyOf(ids, ids.length * 2);
        }
        ids[end] = id;
        end++;
        cursor = 0;
        lastOutput = null;
    }

    /** Releases all activations. */
    void releaseActivations() {
        activations.retainOnly(Set.of());
        lastOutput = null;
    }

    /** Returns the engines of all stages except one; -1 excludes none. */
    Set<hyssopturn.model.InstanceId> enginesExcept(int stage) {
        Set<hyssopturn.model.InstanceId> others = new HashSet<>();
        for (int i = 0; i < stages.size(); i++) {
            if (i != stage) {
                others.add(stages.get(i).engine());
            }
        }
        return others;
    }

    String describe(hyssopturn.model.ModelId model) {
        return new Chain(model, stages.stream().map(RunStage::stage).toList()).describe();
    }
}
