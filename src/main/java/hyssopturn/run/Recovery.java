package hyssopturn.run;

/** Ways to go on after a step did not come back. */
enum Recovery {
    /** The same engine over a new connection. */
    RESUME("resume"),
    /** Another engine for the lost layers, fed by kept activations. */
    REPLACE("replace"),
    /** A new chain that runs the prompt and all tokens delivered again. */
    RESTART("restart"),
    /** Another engine for some layers, fed by the old one's cached state. */
    MOVE("move");

    private final String label;

    Recovery(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }
}
