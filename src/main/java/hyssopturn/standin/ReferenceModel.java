package hyssopturn.standin;

import hyssopturn.model.Bytes;
import hyssopturn.model.ModelSpec;
import hyssopturn.port.EngineClient.Token;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Arithmetic that stands in for a model.
 *
 * <p>Every layer keeps a running hash over all its inputs, so that a token that skips a layer, runs
 * one twice or runs out of order changes every later token.
 */
public final class ReferenceModel {
    private static final long GOLDEN = 0x9E3779B97F4A7C15L;
    private static final int END_ODDS = 96;
    private static final List<String> WORDS =
            List.of(
                    "cut", "the", "stone", "along", "its", "grain", "at", "four", "turn", "blank",
                    "once", "and", "mark", "edge", "with", "chalk", "then", "rough", "out", "base",
                    "leave", "two", "fingers", "for", "polish", "wet", "sand", "slowly", "check",
                    "depth", "donkey", "thanks", "you", "hay", "field", "morning", "walks", "well");

    private ReferenceModel() {}

    /**
     * Mixes two numbers.
     *
     * @param a one number
     * @param b another
     * @return a hash of both
     */
    public static long mix(long a, long b) {
        long z = a * GOLDEN + b + GOLDEN;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }

    /**
     * Makes the token that follows an activation of the last layer.
     *
     * @param activation the activation
     * @return the token
     */
    static Token token(long activation) {
        long id = mix(activation, 7);
        String word = WORDS.get((int) Math.floorMod(id, (long) WORDS.size()));
        boolean last = Math.floorMod(mix(id, 11), (long) END_ODDS) == 0;
        return new Token(id, " " + word, last);
    }

    /**
     * Generates a whole answer in one place, for comparison.
     *
     * @param model the model
     * @param prompt ids of the prompt's tokens
     * @param maxTokens greatest number of tokens
     * @return the tokens of the answer
     */
    public static List<Token> generate(ModelSpec model, long[] prompt, int maxTokens) {
        long[] states = new long[model.layers()];
        long seed = model.id().hashCode();
        for (int layer = 0; layer < states.length; layer++) {
            states[layer] = mix(seed, layer);
        }
        long activation = 0;
        for (long id : prompt) {
            activation = run(states, id);
        }
        List<Token> answer = new ArrayList<>();
        while (answer.size() < maxTokens) {
            Token token = token(activation);
            answer.add(token);
            if (token.last()) {
                break;
            }
            activation = run(states, token.id());
        }
        return answer;
    }

    private static long run(long[] states, long input) {
        long value = input;
        for (int layer = 0; layer < states.length; layer++) {
            states[layer] = mix(states[layer], value);
            value = mix(states[layer], layer);
        }
        return value;
    }

    /**
     * Packs numbers, 8 bytes each.
     *
     * @param values the numbers
     * @return the bytes
     */
    public static Bytes pack(long... values) {
        ByteBuffer buffer = ByteBuffer.allocate(values.length * Long.BYTES);
        for (long value : values) {
            buffer.putLong(value);
        }
        return Bytes.wrap(buffer.array());
    }

    /**
     * Unpacks numbers of 8 bytes each.
     *
     * @param bytes the bytes
     * @return the numbers
     */
    public static long[] unpack(Bytes bytes) {
        long[] values = new long[bytes.size() / Long.BYTES];
        ByteBuffer.wrap(bytes.toArray()).asLongBuffer().get(values);
        return values;
    }
}
