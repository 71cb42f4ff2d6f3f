package hyssopturn.helper;

/** Argument checks that throw {@link InvalidArgumentException}. */
public final class Check {
    private Check() {}

    /**
     * Requires a text that is not blank.
     *
     * @param text the text
     * @param name name of the argument, for the error message
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
     * Requires a value that is not null.
     *
     * @param <T> type of the value
     * @param value the value
     * @param name name of the argument, for the error message
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
     * @param low minimum, inclusive
     * @param high maximum, inclusive
     * @param name name of the argument, for the error message
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
     * @param condition the condition
     * @param message error message if the condition is false
     * @throws InvalidArgumentException if the condition is false
     */
    public static void that(boolean condition, String message) {
        if (!condition) {
            throw new InvalidArgumentException(message);
        }
    }
}
