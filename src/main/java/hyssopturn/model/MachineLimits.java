package hyssopturn.model;

import java.util.OptionalInt;
import java.util.OptionalLong;

/**
 * What a process may occupy on its machine, as far as the platform tells.
 *
 * @param memoryBytes memory of the process, with the bytes that it has received and not read
 * @param sockets number of sockets and pipes that the process may open
 */
public record MachineLimits(OptionalLong memoryBytes, OptionalInt sockets) {
    /**
     * Returns the limits of a machine of which nothing is known.
     *
     * @return limits without any value
     */
    public static MachineLimits unknown() {
        return new MachineLimits(OptionalLong.empty(), OptionalInt.empty());
    }
}
