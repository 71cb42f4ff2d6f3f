package hyssopturn.config;

import hyssopturn.model.Config;
import hyssopturn.port.LogPage;

import java.util.Optional;

/** Decides which configuration is in force: the first record whose base is current wins. */
public final class ConfigFold {
    private ConfigFold() {}

    /**
     * Applies one record of the log.
     *
     * @param current configuration in force before it
     * @param entry the record
     * @return configuration in force after it
     */
    public static Config apply(Config current, LogPage.Entry entry) {
        if (entry.offset() <= current.version()) {
            return current;
        }
        Optional<ConfigRecord> record = ConfigRecord.decode(entry.data());
        if (record.isEmpty() || record.get().base() != current.version()) {
            return current;
        }
        try {
            return ConfigDocument.parse(record.get().document(), entry.offset());
        } catch (ConfigInvalidException e) {
            return current;
        }
    }
}
