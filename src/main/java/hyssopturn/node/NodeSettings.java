package hyssopturn.node;

import hyssopturn.admit.AdmitSettings;
import hyssopturn.model.Zone;

import java.time.Duration;

/**
 * Settings of a node.
 *
 * @param zone availability zone of the node
 * @param accountSecret secret that authenticates the callers' bearer tokens
 * @param peerSecret secret that authenticates links between nodes and seals configurations in the
 *     log
 * @param pollInterval interval at which the instance list is polled
 * @param logRetention minimum retention of records in the platform's log
 * @param ledgerKeep retention of the idempotency key of a non-repeatable call
 * @param logAppends maximum appends per second of the ledgers of all nodes together
 * @param answerKeep retention of a finished answer
 * @param answerBytes maximum total size of retained answers, in bytes
 * @param callerGrace how long a generation continues while nobody reads its answer
 * @param stallPatience maximum time without a token once a generation has begun
 * @param activationBytes maximum total size of activations retained for replay, in bytes
 * @param eventCapacity number of events retained for the timeline
 * @param admit admission settings
 */
public record NodeSettings(
        Zone zone,
        String accountSecret,
        String peerSecret,
        Duration pollInterval,
        Duration logRetention,
        Duration ledgerKeep,
        int logAppends,
        Duration answerKeep,
        long answerBytes,
        Duration callerGrace,
        Duration stallPatience,
        long activationBytes,
        int eventCapacity,
        AdmitSettings admit) {

    /**
     * Returns settings for a trial on a single machine.
     *
     * @param zone availability zone of the node
     * @return the settings
     */
    public static NodeSettings trial(Zone zone) {
        return new NodeSettings(
                zone,
                "trial-accounts",
                "trial-peers",
                Duration.ofMillis(500),
                Duration.ofHours(1),
                Duration.ofDays(3),
                300,
                Duration.ofMinutes(5),
                64L << 20,
                Duration.ofSeconds(30),
                Duration.ofSeconds(30),
                32L << 20,
                10_000,
                AdmitSettings.standard());
    }

    /**
     * Returns a copy with other admission settings.
     *
     * @param value admission settings
     * @return the copy
     */
    public NodeSettings withAdmit(AdmitSettings value) {
        return new NodeSettings(
                zone,
                accountSecret,
                peerSecret,
                pollInterval,
                logRetention,
                ledgerKeep,
                logAppends,
                answerKeep,
                answerBytes,
                callerGrace,
                stallPatience,
                activationBytes,
                eventCapacity,
                value);
    }
}
