package hyssopturn.config;

import java.util.List;

/** What the fold made of one record; the same at every node that can judge it. */
public sealed interface Verdict {
    /**
     * Returns a short name for counters and lists.
     *
     * @return the name
     */
    default String label() {
        return switch (this) {
            case Accepted accepted -> "accepted";
            case Superseded superseded -> "superseded";
            case Repeated repeated -> "repeated";
            case Invalid invalid -> "invalid";
            case Undetermined undetermined -> "undetermined";
            case Restated restated -> "snapshot";
            case Skipped skipped -> "skipped";
        };
    }

    /**
     * The publication came into force.
     *
     * @param version its version
     */
    record Accepted(long version) implements Verdict {}

    /**
     * Another publication came first.
     *
     * @param base version that the loser was edited from
     * @param version version in force
     * @param winner name of the publication in force
     */
    record Superseded(long base, long version, String winner) implements Verdict {}

    /**
     * The same publication stands in the log already and is in force.
     *
     * @param version its version
     */
    record Repeated(long version) implements Verdict {}

    /**
     * The document has problems.
     *
     * @param problems all of them
     */
    record Invalid(List<Problem> problems) implements Verdict {
        /** Copies the list. */
        public Invalid {
            problems = List.copyOf(problems);
        }
    }

    /** This reader lacks earlier records and cannot judge the publication. */
    record Undetermined() implements Verdict {}

    /**
     * A snapshot said again what is in force.
     *
     * @param version version that it carries
     */
    record Restated(long version) implements Verdict {}

    /**
     * The record is no publication and no good snapshot.
     *
     * @param cause what is wrong with it
     */
    record Skipped(Cause cause) implements Verdict {}

    /** Why a record is skipped. */
    enum Cause {
        /** It is larger than {@link ConfigRecord#MAX_BYTES}. */
        OVERSIZED,
        /** It is no record of this stream. */
        MALFORMED,
        /** A snapshot whose seal is wrong or whose document cannot be read. */
        UNPROVEN
    }
}
