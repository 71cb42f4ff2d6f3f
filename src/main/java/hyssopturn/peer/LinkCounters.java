package hyssopturn.peer;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;

/** Counters of links. */
final class LinkCounters {
    final Counter malformed;
    final Counter refused;
    final Counter silent;
    final Counter opened;
    final Counter dropped;
    final Counter sentBytes;
    final Counter receivedBytes;

    LinkCounters(MeterRegistry meters) {
        malformed = meters.counter("hyssopturn.peer.closed", "why", "malformed");
        refused = meters.counter("hyssopturn.peer.closed", "why", "refused");
        silent = meters.counter("hyssopturn.peer.closed", "why", "silent");
        opened = meters.counter("hyssopturn.peer.opened");
        dropped = meters.counter("hyssopturn.peer.dropped.frames");
        sentBytes = meters.counter("hyssopturn.peer.bytes", "direction", "sent");
        receivedBytes = meters.counter("hyssopturn.peer.bytes", "direction", "received");
    }
}
