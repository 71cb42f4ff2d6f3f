package hyssopturn.load;

import static java.util.Arrays.stream;

import hyssopturn.helper.Check;
import hyssopturn.model.InstanceId;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

/**
 * Tokens of one layer held at engines, in units of {@value #UNIT_TOKENS} and sparse; immutable.
 *
 * <p>An engine is named by a short hash of its id, so that nodes whose lists of engines differ
 * understand each other. The rare engines that share a hash are taken to share their load.
 */
public final class EngineTokens {
    /** Tokens of one layer in a unit, small beside what a single request holds. */
    public static final int UNIT_TOKENS = 64;

    /** Number of bits of a hash; few enough that differences of sorted hashes take 3 bytes. */
    public static final int HASH_BITS = 26;

    /** Greatest number of units at one engine; more is not plausible. */
    public static final long MAX_UNITS = 1L << 40;

    /** No tokens at any engine. */
    public static final EngineTokens NONE = new EngineTokens(new int[0], new long[0]);

    private final int[] hashes;
    private final long[] units;
    private final boolean named;

    private EngineTokens(int[] hashes, long[] units) {
        this(hashes, units, true);
    }

    private EngineTokens(int[] hashes, long[] units, boolean named) {
        this.hashes = hashes;
        this.units = units;
        this.named = named;
    }

    /**
     * Creates tokens from units by hash.
     *
     * @param hashes hashes of the engines, strictly increasing
     * @param units units at each of them
     * @return the tokens
     * @throws hyssopturn.helper.InvalidArgumentException if the hashes are not increasing, or a
     *     value is out of range
     */
    public static EngineTokens of(int[] hashes, long[] units) {
        Check.that(hashes.length == units.length, "as many units as engines");
        int previous = -1;
        for (int i = 0; i < hashes.length; i++) {
            Check.that(hashes[i] > previous, "hashes must increase");
            previous = hashes[i];
        }
        Check.that(previous >>> HASH_BITS == 0 || previous < 0, "hash out of range");
        checkUnits(units);
        return new EngineTokens(hashes.clone(), units.clone());
    }

    private static void checkUnits(long[] units) {
        for (long value : units) {
            Check.that(value >= 0 && value <= MAX_UNITS, "units out of range");
        }
    }

    /**
     * Creates tokens at engines that the receiver knows from an earlier message, in the same order.
     *
     * @param units units at each of them
     * @return the tokens, to be named before use
     * @throws hyssopturn.helper.InvalidArgumentException if a value is out of range
     */
    public static EngineTokens unnamed(long[] units) {
        checkUnits(units);
        return new EngineTokens(new int[0], units.clone(), false);
    }

    /** Names engines after those of other tokens; empty if they are not as many. */
    Optional<EngineTokens> namedAs(EngineTokens other) {
        if (named) {
            return Optional.of(this);
        }
        return other.named && other.size() == size()
                ? Optional.of(new EngineTokens(other.hashes, units))
                : Optional.empty();
    }

    /** Returns these tokens without the names of the engines. */
    EngineTokens withoutNames() {
        return new EngineTokens(new int[0], units, false);
    }

    /** Returns a digest of the names of the engines, never 0. */
    int digest() {
        return Math.max(1, mix(Arrays.hashCode(hashes)) >>> 1);
    }

    /** Returns the units at given engines, also those without any. */
    static EngineTokens at(int[] hashes, Map<Integer, Long> byHash) {
        long[] units = new long[hashes.length];
        Arrays.setAll(units, i -> Math.max(0, byHash.getOrDefault(hashes[i], 0L)));
        return new EngineTokens(hashes, units);
    }

    /**
     * Returns whether the engines are named.
     *
     * @return false if the receiver knows their names
     */
    public boolean named() {
        return named;
    }

    /** Converts units by hash, of which those of zero are left out. */
    static EngineTokens of(Map<Integer, Long> byHash) {
        TreeMap<Integer, Long> sorted = new TreeMap<>(byHash);
        sorted.values().removeIf(u -> u <= 0);
        int[] hashes = sorted.keySet().stream().mapToInt(Integer::intValue).toArray();
        long[] units = sorted.values().stream().mapToLong(Long::longValue).toArray();
        return new EngineTokens(hashes, units);
    }

    /** Returns the hash by which messages name an engine; all builds must agree on it. */
    static int hash(InstanceId engine) {
        return mix(engine.value().hashCode()) >>> (Integer.SIZE - HASH_BITS);
    }

    /** Spreads the bits of a hash code over all positions (finalizer of MurmurHash3). */
    static int mix(int code) {
        int h = code;
        h = (h ^ (h >>> 16)) * 0x85ebca6b;
        h = (h ^ (h >>> 13)) * 0xc2b2ae35;
        return h ^ (h >>> 16);
    }

    /** Returns the tokens of one layer at an engine. */
    double tokens(InstanceId engine) {
        int index = Arrays.binarySearch(hashes, hash(engine));
        return index < 0 ? 0 : (double) units[index] * UNIT_TOKENS;
    }

    /**
     * Returns the number of engines.
     *
     * @return the number
     */
    public int size() {
        return units.length;
    }

    /**
     * Returns the hash of an engine.
     *
     * @param index position of the engine, in the order of the hashes
     * @return the hash
     */
    public int hash(int index) {
        return hashes[index];
    }

    /**
     * Returns the units at an engine.
     *
     * @param index position of the engine, in the order of the hashes
     * @return the units
     */
    public long units(int index) {
        return units[index];
    }

    /** Adds the units of this load, or takes them away, to sums by hash. */
    void addTo(Map<Integer, Long> sums, int sign) {
        for (int i = 0; i < hashes.length; i++) {
            sums.merge(hashes[i], sign * units[i], EngineTokens::sumOrAbsent);
        }
    }

    private static Long sumOrAbsent(long a, long b) {
        return a + b == 0 ? null : a + b;
    }

    /**
     * Joins two loads, of which the other's engines come behind these in the order of the hashes.
     *
     * @throws hyssopturn.helper.InvalidArgumentException if they do not
     */
    EngineTokens join(EngineTokens other) {
        if (size() == 0 || other.size() == 0) {
            return size() == 0 ? other : this;
        }
        long[] allUnits = LongStream.concat(stream(units), stream(other.units)).toArray();
        int[] allHashes = IntStream.concat(stream(hashes), stream(other.hashes)).toArray();
        return named && other.named ? of(allHashes, allUnits) : unnamed(allUnits);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof EngineTokens that
                && Arrays.equals(hashes, that.hashes)
                && Arrays.equals(units, that.units);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(hashes) + Arrays.hashCode(units);
    }

    @Override
    public String toString() {
        return "tokens at " + units.length + " engines";
    }
}
