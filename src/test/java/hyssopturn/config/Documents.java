package hyssopturn.config;

/** Documents for tests. */
final class Documents {
    private Documents() {}

    static String valid(int number) {
        return "format: 1\nclasses:\n  class-" + number + ": {service: dispatch, answer: 1s}\n";
    }

    static String invalid() {
        return "format: 1\nclasses: {a: {}}\n";
    }
}
