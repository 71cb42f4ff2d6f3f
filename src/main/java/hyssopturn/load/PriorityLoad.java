package hyssopturn.load;

/**
 * Streams of one priority that clients of a zone ask for.
 *
 * @param priority the priority, 0 is the most urgent
 * @param askedPerSecond streams asked for in a second
 * @param startedPerSecond streams started in a second
 * @param held streams that wait for capacity
 * @param latePart part of the streams started whose first event came after the target, from 0 to 1
 */
public record PriorityLoad(
        int priority,
        double askedPerSecond,
        double startedPerSecond,
        double held,
        double latePart) {}
