package hyssopturn.member;

import hyssopturn.port.Instance;

import java.time.Duration;

/**
 * Settings of membership and of the exchange of facts.
 *
 * @param self list entry of this node, with its name, zone and addresses
 * @param pollInterval minimum time between two reads of the list or of an engine's report
 * @param roundInterval time between two rounds of exchange with a partner
 * @param partnerCount number of partners of a node, independent of the number of nodes
 * @param partnerChoice how partners are chosen
 * @param spread what is sent to partners
 * @param bytesPerSecond rate limit of all messages together, in bytes per second
 * @param burstBytes burst allowed beyond the rate, in bytes
 * @param subsetSize number of engines that a node sends work to when there are many
 */
public record MemberSettings(
        Instance self,
        Duration pollInterval,
        Duration roundInterval,
        int partnerCount,
        PartnerChoice partnerChoice,
        Spread spread,
        int bytesPerSecond,
        int burstBytes,
        int subsetSize) {
    private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);
    private static final int PARTNER_COUNT = 3;
    private static final int BYTES_PER_SECOND = 4_500;
    private static final int BURST_BYTES = 1_900;
    private static final int SUBSET_SIZE = 48;

    /** What is sent to partners. */
    public enum Spread {
        /** Changes since the last confirmed ones, and facts that summaries show to differ. */
        DIFFERENCES,
        /** All facts in every round. */
        FULL
    }

    /**
     * Returns the standard settings.
     *
     * @param self entry of this node
     * @param pollInterval minimum time between two reads of the list or of an engine's report
     * @return the settings
     */
    public static MemberSettings standard(Instance self, Duration pollInterval) {
        return new MemberSettings(
                self,
                pollInterval,
                ROUND_INTERVAL,
                PARTNER_COUNT,
                PartnerChoice.RING,
                Spread.DIFFERENCES,
                BYTES_PER_SECOND,
                BURST_BYTES,
                SUBSET_SIZE);
    }
}
