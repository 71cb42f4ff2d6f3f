package hyssopturn.config;

/** What became of a publication. */
public sealed interface Published {
    /**
     * It is accepted and never reverts.
     *
     * @param version its version
     */
    record Accepted(long version) implements Published {}

    /**
     * It is rejected and never comes into force.
     *
     * @param verdict why
     */
    record Rejected(Verdict verdict) implements Published {}

    /**
     * It was never appended and never comes into force.
     *
     * @param cause why, for people
     */
    record NotSent(String cause) implements Published {}

    /**
     * It may come into force or may have done so.
     *
     * @param publication name to look for in the log
     * @param cause why, for people
     */
    record Unknown(String publication, String cause) implements Published {}
}
