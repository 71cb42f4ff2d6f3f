package hyssopturn.share;

/** Stream of the store that some nodes read for others. */
public enum SharedStream {
    /** Configurations. */
    CONFIGURATION,

    /** Announcements of endpoints. */
    ENDPOINTS,

    /** Reports of faults. */
    FAULTS
}
