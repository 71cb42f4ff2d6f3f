package hyssopturn.front;

import hyssopturn.event.Detail;
import hyssopturn.event.Event;

import io.vertx.core.json.JsonObject;

/** JSON form of events. */
final class EventForm {
    private EventForm() {}

    static JsonObject json(Event event) {
        JsonObject json =
                new JsonObject()
                        .put("millis", event.stamp().millis())
                        .put("counter", event.stamp().counter())
                        .put("node", event.node().value());
        event.request().ifPresent(r -> json.put("request", r.value()));
        return switch (event.detail()) {
            case Detail.Arrived d ->
                    json.put("what", "arrived")
                            .put("account", d.account().value())
                            .put("class", d.workClass().value());
            case Detail.Ended d ->
                    json.put("what", "ended")
                            .put("outcome", d.outcome().label())
                            .put("reason", d.reason().code())
                            .put("message", d.message());
            case Detail.AttemptBegan d ->
                    json.put("what", "attempt").put("attempt", d.attempt()).put("chain", d.chain());
            case Detail.EndpointFailed d ->
                    json.put("what", "endpoint-failed")
                            .put("endpoint", d.endpoint().value())
                            .put("error", d.error());
            case Detail.Claim d -> json.put("what", "claim").put("state", d.state());
            case Detail.ConfigInForce d -> json.put("what", "config").put("version", d.version());
            case Detail.InstanceChanged d ->
                    json.put("what", "instance")
                            .put("endpoint", d.instance().value())
                            .put("state", d.state());
            case Detail.NodeState d -> json.put("what", "node").put("state", d.state());
        };
    }
}
