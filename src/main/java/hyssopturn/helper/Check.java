package hyssopturn.helper;

/** Argument checks that fail with a typed error. */
public final class Check {
    private Check() {}

    /**
     * Requires a text that is not blank.
     *
     * @param text the text
     * @param name what the text is, for the message
     * @return the text
     * @throws InvalidArgumentException if it is null or blank
     */
    public static String notBlank(String text, String name) {
        if (text == null || text.isBlank()) {
            throw new InvalidArgumentException(name + " must not be blank");
        }
        return text;
    }

    /**
     * Requires a value that is present.
     *
     * @param <T> type of the value
     * @param value the value
     * @param name what the value is, for the message
     * @return the value
     * @throws InvalidArgumentException if it is null
     */
    public static <T> T notNull(T value, String name) {
        if (value == null) {
            throw new InvalidArgumentException(name + " must be given");
        }
        return value;
    }

    /**
     * Requires a number within bounds.
     *
     * @param value the number
     * @param low least allowed value
     * @param high greatest allowed value
     * @param name what the number is, for the message
     * @return the number
     * @throws InvalidArgumentException if it is out of bounds
     */
    public static long inRange(long value, long low, long high, String name) {
        if (value < low || value > high) {
            throw new InvalidArgumentException(
                    name + " must be from " + low + " to " + high + ", was " + value);
        }
        return value;
    }

    /**
     * Requires a condition.
     *
     * @param condition what must hold
     * @param message what is wrong when it does not
     * @throws InvalidArgumentException if it does not hold
     */
    public static void that(boolean condition, String message) {
        if (!condition) {
            throw new InvalidArgumentException(message);
        }
    }
}
