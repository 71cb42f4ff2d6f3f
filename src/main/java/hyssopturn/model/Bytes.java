package hyssopturn.model;

import static java.nio.charset.StandardCharsets.UTF_8;

import hyssopturn.helper.Check;

import java.util.Arrays;

/** Immutable bytes with value equality. */
public final class Bytes {
    /** No bytes. */
    public static final Bytes EMPTY = new Bytes(new byte[0]);

    private final byte[] data;

    private Bytes(byte[] data) {
        this.data = data;
    }

    /**
     * Copies an array.
     *
     * @param data the bytes
     * @return the same bytes, independent of later changes to the array
     */
    public static Bytes copyOf(byte[] data) {
        return new Bytes(Check.notNull(data, "bytes").clone());
    }

    /**
     * Wraps an array without copying it; the caller must not change the array afterwards.
     *
     * @param data the bytes
     * @return the same bytes, backed by the array
     */
    public static Bytes wrap(byte[] data) {
        return new Bytes(Check.notNull(data, "bytes"));
    }

    /**
     * Encodes a text.
     *
     * @param text the text
     * @return its UTF-8 form
     */
    public static Bytes utf8(String text) {
        return new Bytes(text.getBytes(UTF_8));
    }

    /**
     * Returns the number of bytes.
     *
     * @return size in bytes
     */
    public int size() {
        return data.length;
    }

    /**
     * Copies the bytes.
     *
     * @return a new array
     */
    public byte[] toArray() {
        return data.clone();
    }

    /**
     * Decodes the bytes.
     *
     * @return the text whose UTF-8 form they are
     */
    public String text() {
        return new String(data, UTF_8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Bytes bytes && Arrays.equals(data, bytes.data);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(data);
    }

    @Override
    public String toString() {
        return data.length + " bytes";
    }
}
