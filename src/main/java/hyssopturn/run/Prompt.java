package hyssopturn.run;

import hyssopturn.helper.Check;
import hyssopturn.model.Bytes;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** A prompt as a sequence of token ids. */
public final class Prompt {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final long[] ids;

    private Prompt(long[] ids) {
        Check.that(ids.length > 0, "a prompt must have at least one token");
        this.ids = ids;
    }

    /**
     * Splits a text at white space and uses a hash of each word as its token id.
     *
     * @param text the text
     * @return the prompt
     * @throws hyssopturn.helper.InvalidArgumentException if the text is blank
     */
    public static Prompt of(String text) {
        Check.notBlank(text, "prompt");
        String[] words = text.strip().split("\\s+", -1);
        return new Prompt(Arrays.stream(words).mapToLong(Prompt::hash).toArray());
    }

    /**
     * Creates a prompt from token ids.
     *
     * @param ids the ids, at least one
     * @return the prompt
     */
    public static Prompt ofIds(long... ids) {
        return new Prompt(ids.clone());
    }

    /**
     * Returns the number of tokens.
     *
     * @return number of tokens, at least 1
     */
    public int size() {
        return ids.length;
    }

    /**
     * Returns the token ids.
     *
     * @return a copy
     */
    public long[] ids() {
        return ids.clone();
    }

    /**
     * Returns a hash of the first tokens.
     *
     * @param count greatest number of tokens to hash
     * @return hash of the prefix
     */
    public long prefix(int count) {
        long value = FNV_OFFSET;
        for (int i = 0; i < Math.min(count, ids.length); i++) {
            value = (value ^ ids[i]) * FNV_PRIME;
        }
        return value;
    }

    /**
     * Packs the ids as the input of layer 0.
     *
     * @return 8 bytes per token, big-endian
     */
    public Bytes pack() {
        return pack(ids);
    }

    static Bytes pack(long... values) {
        ByteBuffer buffer = ByteBuffer.allocate(values.length * Long.BYTES);
        for (long value : values) {
            buffer.putLong(value);
        }
        return Bytes.wrap(buffer.array());
    }

    private static long hash(String word) {
        long value = FNV_OFFSET;
        for (int i = 0; i < word.length(); i++) {
            value = (value ^ word.charAt(i)) * FNV_PRIME;
        }
        return value;
    }
}
