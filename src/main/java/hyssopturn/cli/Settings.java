package hyssopturn.cli;

import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Values of settings, checked all together. */
final class Settings {
    private final Map<Setting<?>, Object> values = new HashMap<>();

    private Settings() {}

    /** Adds the options of settings to a command. */
    static void declare(CommandSpec spec, List<Setting<?>> settings) {
        settings.forEach(s -> spec.addOption(s.option()));
    }

    /** Reads the settings of a command; names every wrong one. */
    static Settings read(CommandSpec spec, List<Setting<?>> settings) {
        Settings result = new Settings();
        List<String> problems = new ArrayList<>();
        for (Setting<?> setting : settings) {
            OptionSpec option = spec.findOption(setting.flag());
            String given = option.getValue();
            String text = given == null ? "" : given;
            Optional<?> value = setting.kind().read(text);
            if (value.isPresent()) {
                result.values.put(setting, value.get());
            } else {
                problems.add(
                        "%s (%s): '%s' is wrong, must be %s"
                                .formatted(
                                        setting.flag(),
                                        setting.variable(),
                                        text,
                                        setting.kind().allowed()));
            }
        }
        if (!problems.isEmpty()) {
            throw new SettingsException(problems);
        }
        return result;
    }

    @SuppressWarnings("unchecked")
    <T> T get(Setting<T> setting) {
        return (T) values.get(setting);
    }
}
