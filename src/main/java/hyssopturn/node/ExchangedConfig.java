package hyssopturn.node;

import hyssopturn.config.AcceptedDocument;
import hyssopturn.config.ConfigController;
import hyssopturn.member.ConfigSource;
import hyssopturn.model.Bytes;

import java.util.Optional;

/** Exposes the node's configuration for exchange with other nodes. */
final class ExchangedConfig implements ConfigSource {
    private final ConfigController config;

    ExchangedConfig(ConfigController config) {
        this.config = config;
    }

    @Override
    public long version() {
        return config.current().version();
    }

    @Override
    public Optional<Bytes> document() {
        return config.accepted().map(AcceptedDocument::encode);
    }

    @Override
    public void offer(Bytes document) {
        AcceptedDocument.decode(document).ifPresent(config::offer);
    }
}
