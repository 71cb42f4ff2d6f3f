package hyssopturn.front;

import hyssopturn.model.AnswerEvent.End;

/** HTTP status codes for the ends of answers. */
final class Statuses {
    static final int OK = 200;
    static final int BAD_REQUEST = 400;
    static final int UNAUTHORIZED = 401;
    static final int NOT_FOUND = 404;
    static final int CONFLICT = 409;
    static final int TOO_MANY = 429;
    static final int BAD_GATEWAY = 502;
    static final int UNAVAILABLE = 503;
    static final int GATEWAY_TIMEOUT = 504;

    private Statuses() {}

    static int of(End end) {
        return switch (end.outcome()) {
            case DONE -> OK;
            case FAILED -> BAD_GATEWAY;
            case UNKNOWN -> GATEWAY_TIMEOUT;
            case NOT_RUN -> notRun(end);
        };
    }

    private static int notRun(End end) {
        return switch (end.reason()) {
            case INVALID, KEY_REQUIRED -> BAD_REQUEST;
            case UNAUTHENTICATED -> UNAUTHORIZED;
            case UNKNOWN_CLASS -> NOT_FOUND;
            case KEY_CONFLICT -> CONFLICT;
            case OVERLOADED -> TOO_MANY;
            default -> UNAVAILABLE;
        };
    }
}
