package hyssopturn.load;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;

/** Puts the fragments of the newest message of one sender together; older messages are ignored. */
final class FragmentBuffer {
    private long sequence;
    private LoadMessage[] fragments = new LoadMessage[0];

    /** Adds a fragment; returns the whole message if this was the last missing fragment. */
    Optional<LoadMessage> add(long newSequence, LoadMessage message) {
        LoadMessage.Fragment fragment = message.fragment();
        if (newSequence < sequence) {
            return Optional.empty();
        }
        if (newSequence > sequence || fragments.length != fragment.count()) {
            sequence = newSequence;
            fragments = new LoadMessage[fragment.count()];
        }
        fragments[fragment.index()] = message;
        if (Arrays.stream(fragments).anyMatch(Objects::isNull)) {
            return Optional.empty();
        }
        MeasuredLoad whole =
                Arrays.stream(fragments)
                        .map(LoadMessage::load)
                        .reduce(MeasuredLoad::join)
                        .orElseThrow();
        fragments = new LoadMessage[0];
        return Optional.of(message.with(whole, LoadMessage.Fragment.WHOLE));
    }
}
