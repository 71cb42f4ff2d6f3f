package hyssopturn.config;

import java.util.List;
import java.util.stream.Collectors;

/** A configuration document has problems. */
public final class ConfigInvalidException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<Problem> problems;

    /**
     * Creates the error.
     *
     * @param problems everything that is wrong
     */
    public ConfigInvalidException(List<Problem> problems) {
        super(problems.stream().map(Problem::toString).collect(Collectors.joining("; ")));
        this.problems = List.copyOf(problems);
    }

    /**
     * Returns everything that is wrong.
     *
     * @return the problems, at least one
     */
    public List<Problem> problems() {
        return problems;
    }
}
