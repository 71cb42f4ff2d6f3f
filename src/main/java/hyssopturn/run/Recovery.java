package hyssopturn.run;

/** Ways to continue a run whose engine failed, timed out or is leaving. */
enum Recovery {
    /** Sends the step to the same engine over a new connection. */
    RESUME("resume"),
    /** Replaces the lost engine and replays kept activations on its layers. */
    REPLACE("replace"),
    /** Recomputes the prompt and all delivered tokens on a new chain. */
    RESTART("restart"),
    /** Moves the cached state of an engine to another one. */
    MOVE("move");

    private final String label;

    Recovery(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }
}
