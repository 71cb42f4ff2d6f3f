package hyssopturn.node;

import hyssopturn.admit.AdmitSettings;
import hyssopturn.model.Zone;

import java.time.Duration;

/**
 * Settings of a node.
 *
 * @param zone zone that the node stands in
 * @param accountSecret secret of the callers' bearer tokens
 * @param peerSecret secret of the links between nodes
 * @param pollInterval time between two readings of the instance list
 * @param logRetention least time that the platform's log keeps a record
 * @param ledgerKeep how long the key of a call that must not be repeated is known
 * @param logAppends appends a second that the ledgers of all nodes may take together
 * @param answerKeep how long a finished answer is kept
 * @param answerBytes greatest size of all answers kept, in bytes
 * @param callerGrace how long a generation goes on while nobody reads its answer
 * @param stallPatience how long a generation that has begun may go without a token
 * @param activationBytes greatest size of all activations kept for replay, in bytes
 * @param eventCapacity number of events kept for the time line
 * @param admit settings of admission
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
     * Returns settings that suit a trial on one machine.
     *
     * @param zone zone that the node stands in
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
     * Returns the same settings with another admission.
     *
     * @param value settings of admission
     * @return the settings
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
