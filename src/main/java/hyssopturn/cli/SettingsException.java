package hyssopturn.cli;

import java.util.List;

/** Some settings are wrong. */
final class SettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final transient List<String> problems;

    SettingsException(List<String> problems) {
        super(String.join(System.lineSeparator(), problems));
        this.problems = List.copyOf(problems);
    }

    List<String> problems() {
        return problems;
    }
}
