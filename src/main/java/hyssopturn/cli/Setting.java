package hyssopturn.cli;

import picocli.CommandLine.Model.OptionSpec;

import java.util.Locale;

/**
 * One setting: a flag and an environment variable.
 *
 * @param name name without dashes
 * @param kind how it is read
 * @param fallback value when it is not given, empty if it must be given
 * @param help what it does
 */
record Setting<T>(String name, Kind<T> kind, String fallback, String help) {
    private static final String PREFIX = "HYSSOPTURN_";

    String flag() {
        return "--" + name;
    }

    String variable() {
        return PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    OptionSpec option() {
        String standard = fallback.isEmpty() ? "" : " Default: " + fallback + ".";
        return OptionSpec.builder(flag())
                .paramLabel("VALUE")
                .type(String.class)
                .defaultValue("${env:" + variable() + ":-" + fallback + "}")
                .description(
                        help + "; " + kind.allowed() + "." + standard, "Variable: " + variable())
                .build();
    }
}
