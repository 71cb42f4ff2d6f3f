package hyssopturn.platform;

import hyssopturn.catalog.Catalog;
import hyssopturn.model.Bytes;

import java.util.Optional;

/** Configuration of the test harness: routes of each kind to a plain service and to engines. */
final class RelayHarnessConfig {
    static final long FIRST_VERSION = 7;

    private static final String TEXT =
            """
            {"Version":%d,"Routes":[
             {"Name":"w","Host":"town.example","PathPrefix":"/write/","Type":"streaming",
              "TimeoutMs":20000,"TargetLatencyMs":500,"Service":"writers","MaxAttempts":2,
              "StreamResume":true,"GapAimMs":200},
             {"Name":"o","Host":"town.example","PathPrefix":"/once/","Type":"streaming",
              "TimeoutMs":20000,"TargetLatencyMs":500,"Service":"writers","MaxAttempts":2,
              "GapAimMs":200},
             {"Name":"m","Host":"town.example","PathPrefix":"/many/","Type":"streaming",
              "TimeoutMs":20000,"TargetLatencyMs":500,"Service":"writers","MaxAttempts":6,
              "StreamResume":true,"GapAimMs":200},
             {"Name":"f","Host":"town.example","PathPrefix":"/find/","Type":"idempotent",
              "TimeoutMs":20000,"TargetLatencyMs":100,"Service":"records","MaxAttempts":2},
             {"Name":"b","Host":"town.example","PathPrefix":"/book/","Type":"unsafe",
              "TimeoutMs":20000,"TargetLatencyMs":300,"Service":"records","MaxAttempts":2},
             {"Name":"l","Host":"town.example","PathPrefix":"/look/","Type":"idempotent",
              "TimeoutMs":20000,"TargetLatencyMs":3000,"Service":"records","MaxAttempts":2},
             {"Name":"q","Host":"town.example","PathPrefix":"/quick/","Type":"unsafe",
              "TimeoutMs":50,"TargetLatencyMs":50,"Service":"records","MaxAttempts":2}],
             "Services":[{"Name":"records"},{"Name":"writers","Engine":{"Layers":80,
              "LayerMb":1.0,"KvTokenBytes":80,"step_ms":1.0,"read_per_s":1000.0,
              "PipeMbps":1000.0,"usual":{"prompt":10,"answer":10},
              "Kinds":[{"Name":"k","SizeMb":1000.0,"pace":1.0,"ReadX":1.0}],
              "Models":[{"Name":"m","LoadS":1.0}]}}],
             "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"IdleTimeoutMs":15000},
             "Tenants":%s}
            """;

    private RelayHarnessConfig() {}

    static Catalog catalog() {
        return catalog(FIRST_VERSION, "[" + Configs.ACCOUNT + "]");
    }

    /** Returns the version after the first one, in which a prefix of paths is replaced. */
    static Catalog withPrefix(String prefix, String other) {
        String text = TEXT.formatted(FIRST_VERSION + 1, "[" + Configs.ACCOUNT + "]");
        return decode(text.replace(prefix, other));
    }

    private static Catalog decode(String text) {
        return CatalogDecoder.decode(Bytes.utf8(text), Optional.empty()).catalog();
    }

    /**
     * Returns a configuration with other client accounts.
     *
     * @param version version of the configuration
     * @param accounts JSON array of the accounts
     */
    static Catalog catalog(long version, String accounts) {
        return decode(TEXT.formatted(version, accounts));
    }
}
