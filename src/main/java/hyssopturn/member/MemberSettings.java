package hyssopturn.member;

import hyssopturn.port.Instance;

import java.time.Duration;

/**
 * Settings of membership and exchange.
 *
 * @param self zone, name and addresses are those of this entry
 * @param pollInterval least time between two readings of the list or of an engine's report
 * @param round time between two rounds of exchange with a partner
 * @param partners number of partners of a node, whatever the number of nodes
 * @param choice how partners are chosen
 * @param spread what is sent to them
 * @param bytesPerSecond rate that all messages together may take, in bytes a second
 * @param burstBytes what may be sent beyond the rate at once, in bytes
 * @param subset number of engines that a node sends work to when there are many
 */
public record MemberSettings(
        Instance self,
        Duration pollInterval,
        Duration round,
        int partners,
        PartnerChoice choice,
        Spread spread,
        int bytesPerSecond,
        int burstBytes,
        int subset) {
    private static final Duration ROUND = Duration.ofSeconds(1);
    private static final int PARTNERS = 3;
    private static final int BYTES_PER_SECOND = 4_500;
    private static final int BURST_BYTES = 1_900;
    private static final int SUBSET = 48;

    /** What partners are sent. */
    public enum Spread {
        /** Changes since the last confirmed ones, and what summaries show to differ. */
        DIFFERENCES,
        /** Everything, over and over. */
        FULL
    }

    /**
     * Returns the standard settings.
     *
     * @param self entry of this node
     * @param pollInterval least time between two readings
     * @return the settings
     */
    public static MemberSettings standard(Instance self, Duration pollInterval) {
        return new MemberSettings(
                self,
                pollInterval,
                ROUND,
                PARTNERS,
                PartnerChoice.RING,
                Spread.DIFFERENCES,
                BYTES_PER_SECOND,
                BURST_BYTES,
                SUBSET);
    }
}
