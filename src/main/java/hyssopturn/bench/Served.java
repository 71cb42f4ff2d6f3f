package hyssopturn.bench;

import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Outcome;
import hyssopturn.model.Target;

import java.time.Duration;

/** What became of one arrival; times are from the start of the run. */
final class Served {
    private static final String NO_ANSWER = "no-answer";

    private final Arrival arrival;
    private long firstNanos = -1;
    private long lastNanos;
    private int tokens;
    private AnswerEvent.End end;

    Served(Arrival arrival) {
        this.arrival = arrival;
    }

    void on(AnswerEvent event, long nanos) {
        switch (event) {
            case AnswerEvent.Token token -> {
                part(nanos);
                tokens++;
            }
            case AnswerEvent.Body body -> part(nanos);
            case AnswerEvent.End given -> end = given;
        }
    }

    private void part(long nanos) {
        if (firstNanos < 0) {
            firstNanos = nanos;
        }
        lastNanos = nanos;
    }

    Arrival arrival() {
        return arrival;
    }

    /** Tells whether it was done whole and within its target. */
    boolean met() {
        if (end == null || end.outcome() != Outcome.DONE || tokens != arrival.tokens()) {
            return false;
        }
        return firstNanos - arrival.atNanos() <= arrival.workClass().target().first().toNanos()
                && pace();
    }

    private boolean pace() {
        return switch (arrival.workClass().target()) {
            case Target.Answer answer -> true;
            case Target.Stream(Duration first, Duration between) ->
                    lastNanos - firstNanos <= between.toNanos() * Math.max(0, tokens - 1);
        };
    }

    /** Tells whether the first part came. */
    boolean begun() {
        return firstNanos >= 0;
    }

    /** Returns the time from intended arrival to the first part. */
    long toFirstNanos() {
        return firstNanos - arrival.atNanos();
    }

    /** Names how it ended: outcome and reason, and whether it was late. */
    String ending() {
        if (end == null) {
            return NO_ANSWER;
        }
        if (end.outcome() != Outcome.DONE) {
            return end.outcome().label() + " " + end.reason().code();
        }
        if (met()) {
            return "in-target";
        }
        return pace() ? "late-first" : "late-between";
    }
}
