package hyssopturn.wire;

import hyssopturn.model.AccountId;
import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.ClassName;
import hyssopturn.model.InstanceId;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.RequestId;
import hyssopturn.model.Zone;
import hyssopturn.port.EngineClient.EngineReport;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.EngineClient.KvState;
import hyssopturn.port.EngineClient.Order;
import hyssopturn.port.EngineClient.Phase;
import hyssopturn.port.EngineClient.Step;
import hyssopturn.port.EngineClient.StepResult;
import hyssopturn.port.EngineClient.Token;
import hyssopturn.port.Instance;
import hyssopturn.port.LogPage;
import hyssopturn.port.ServiceClient.ServiceCall;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** JSON encoding of the values that cross the ports; the stand-in servers use it, too. */
public final class Codec {
    private Codec() {}

    /**
     * Writes a step.
     *
     * @param step the step
     * @return its JSON form
     */
    public static JsonObject step(Step step) {
        return new JsonObject()
                .put("request", step.request().value())
                .put("attempt", step.attempt())
                .put("model", model(step.model()))
                .put("layers", layers(step.layers()))
                .put("position", step.position())
                .put("count", step.count())
                .put("input", step.input().toArray())
                .put("prefix", step.prefix())
                .put("priority", step.priority());
    }

    /**
     * Reads a step.
     *
     * @param json its JSON form
     * @return the step
     */
    public static Step step(JsonObject json) {
        return new Step(
                new RequestId(json.getString("request")),
                json.getInteger("attempt"),
                model(json.getJsonObject("model")),
                layers(json.getJsonArray("layers")),
                json.getInteger("position"),
                json.getInteger("count"),
                Bytes.wrap(json.getBinary("input")),
                json.getLong("prefix"),
                json.getInteger("priority"));
    }

    /**
     * Writes a step's result.
     *
     * @param result the result
     * @return its JSON form
     */
    public static JsonObject result(StepResult result) {
        JsonObject json =
                new JsonObject()
                        .put("position", result.position())
                        .put("output", result.output().toArray());
        result.token()
                .ifPresent(
                        t -> json.put("token", t.id()).put("text", t.text()).put("last", t.last()));
        return json;
    }

    /**
     * Reads a step's result.
     *
     * @param json its JSON form
     * @return the result
     */
    public static StepResult result(JsonObject json) {
        Optional<Token> token =
                Optional.ofNullable(json.getLong("token"))
                        .map(id -> new Token(id, json.getString("text"), json.getBoolean("last")));
        return new StepResult(
                json.getInteger("position"), Bytes.wrap(json.getBinary("output")), token);
    }

    /**
     * Writes cached state.
     *
     * @param state the state
     * @return its JSON form
     */
    public static JsonObject kv(KvState state) {
        return new JsonObject()
                .put("model", model(state.model()))
                .put("layers", layers(state.layers()))
                .put("position", state.position())
                .put("data", state.data().toArray());
    }

    /**
     * Reads cached state.
     *
     * @param json its JSON form
     * @return the state
     */
    public static KvState kv(JsonObject json) {
        return new KvState(
                model(json.getJsonObject("model")),
                layers(json.getJsonArray("layers")),
                json.getInteger("position"),
                Bytes.wrap(json.getBinary("data")));
    }

    /**
     * Writes an engine's report.
     *
     * @param report the report
     * @return its JSON form
     */
    public static JsonObject report(EngineReport report) {
        return new JsonObject()
                .put("held", array(report.held(), Codec::holding))
                .put("loading", array(report.loading(), Codec::holding))
                .put("running", report.running())
                .put("waiting", report.waiting())
                .put("kvFreeTokens", report.kvFreeTokens())
                .put("stepMillis", report.stepMillis())
                .put("draining", report.draining())
                .put("term", report.term());
    }

    /**
     * Reads an engine's report.
     *
     * @param json its JSON form
     * @return the report
     */
    public static EngineReport report(JsonObject json) {
        return new EngineReport(
                list(json.getJsonArray("held"), Codec::holding),
                list(json.getJsonArray("loading"), Codec::holding),
                json.getInteger("running"),
                json.getInteger("waiting"),
                json.getLong("kvFreeTokens"),
                json.getDouble("stepMillis"),
                json.getBoolean("draining"),
                json.getLong("term"));
    }

    /**
     * Writes an order.
     *
     * @param order the order
     * @return its JSON form
     */
    public static JsonObject order(Order order) {
        return new JsonObject()
                .put("term", order.term())
                .put("holdings", array(order.holdings(), Codec::holding));
    }

    /**
     * Reads an order.
     *
     * @param json its JSON form
     * @return the order
     */
    public static Order order(JsonObject json) {
        return new Order(json.getLong("term"), list(json.getJsonArray("holdings"), Codec::holding));
    }

    /**
     * Writes a call of a service.
     *
     * @param call the call
     * @return its JSON form
     */
    public static JsonObject call(ServiceCall call) {
        JsonObject json =
                new JsonObject()
                        .put("request", call.request().value())
                        .put("account", call.account().value())
                        .put("class", call.workClass().value())
                        .put("body", call.body().text());
        call.key().ifPresent(key -> json.put("key", key));
        return json;
    }

    /**
     * Reads a call of a service.
     *
     * @param json its JSON form
     * @return the call
     */
    public static ServiceCall call(JsonObject json) {
        return new ServiceCall(
                new RequestId(json.getString("request")),
                new AccountId(json.getString("account")),
                new ClassName(json.getString("class")),
                Optional.ofNullable(json.getString("key")),
                Bytes.utf8(json.getString("body")));
    }

    /**
     * Writes a page of the log.
     *
     * @param page the page
     * @return its JSON form
     */
    public static JsonObject page(LogPage page) {
        return new JsonObject()
                .put("first", page.first())
                .put("next", page.next())
                .put("end", page.end())
                .put("records", array(page.records(), Codec::entry));
    }

    private static JsonObject entry(LogPage.Entry entry) {
        return new JsonObject().put("offset", entry.offset()).put("data", entry.data().toArray());
    }

    /**
     * Reads a page of the log.
     *
     * @param json its JSON form
     * @return the page
     */
    public static LogPage page(JsonObject json) {
        return new LogPage(
                json.getLong("first"),
                json.getLong("next"),
                json.getLong("end"),
                list(
                        json.getJsonArray("records"),
                        r ->
                                new LogPage.Entry(
                                        r.getLong("offset"), Bytes.wrap(r.getBinary("data")))));
    }

    /**
     * Writes an entry of the instance list.
     *
     * @param instance the entry
     * @return its JSON form
     */
    public static JsonObject instance(Instance instance) {
        JsonObject json =
                new JsonObject()
                        .put("id", instance.id().value())
                        .put("incarnation", instance.incarnation())
                        .put("address", instance.address().toString())
                        .put("zone", instance.zone().toString())
                        .put("leaving", instance.leaving());
        return switch (instance.role()) {
            case Instance.Role.Node(Address peers) ->
                    json.put("role", "node").put("peers", peers.toString());
            case Instance.Role.Engine(String accelerator, long memory, boolean fenced) ->
                    json.put("role", "engine")
                            .put("accelerator", accelerator)
                            .put("memoryBytes", memory)
                            .put("fenced", fenced);
            case Instance.Role.Service(String service) ->
                    json.put("role", "service").put("service", service);
        };
    }

    /**
     * Reads an entry of the instance list.
     *
     * @param json its JSON form
     * @return the entry
     */
    public static Instance instance(JsonObject json) {
        return new Instance(
                new InstanceId(json.getString("id")),
                json.getLong("incarnation"),
                role(json),
                Address.parse(json.getString("address")),
                Zone.parse(json.getString("zone")),
                json.getBoolean("leaving"));
    }

    private static Instance.Role role(JsonObject json) {
        return switch (json.getString("role", "")) {
            case "node" -> new Instance.Role.Node(Address.parse(json.getString("peers")));
            case "engine" ->
                    new Instance.Role.Engine(
                            json.getString("accelerator"),
                            json.getLong("memoryBytes"),
                            json.getBoolean("fenced"));
            case "service" -> new Instance.Role.Service(json.getString("service"));
            default -> throw new MalformedException("unknown role " + json.getString("role"));
        };
    }

    private static JsonObject holding(Holding holding) {
        return new JsonObject()
                .put("model", model(holding.model()))
                .put("layers", layers(holding.layers()))
                .put("adapters", new JsonArray(holding.adapters()))
                .put("phase", holding.phase().name());
    }

    private static Holding holding(JsonObject json) {
        return new Holding(
                model(json.getJsonObject("model")),
                layers(json.getJsonArray("layers")),
                json.getJsonArray("adapters").stream().map(Object::toString).toList(),
                Phase.valueOf(json.getString("phase")));
    }

    private static JsonObject model(ModelId model) {
        return new JsonObject().put("name", model.name()).put("version", model.version());
    }

    private static ModelId model(JsonObject json) {
        return new ModelId(json.getString("name"), json.getString("version"));
    }

    private static JsonArray layers(LayerRange layers) {
        return new JsonArray().add(layers.from()).add(layers.to());
    }

    private static LayerRange layers(JsonArray json) {
        return new LayerRange(json.getInteger(0), json.getInteger(1));
    }

    /**
     * Writes a list.
     *
     * @param <T> type of its items
     * @param items the items
     * @param writer writes one item
     * @return the JSON array
     */
    public static <T> JsonArray array(List<T> items, Function<T, JsonObject> writer) {
        JsonArray array = new JsonArray();
        items.forEach(item -> array.add(writer.apply(item)));
        return array;
    }

    /**
     * Reads a list of objects.
     *
     * @param <T> type of its items
     * @param array the JSON array
     * @param reader reads one item
     * @return the items
     */
    public static <T> List<T> list(JsonArray array, Function<JsonObject, T> reader) {
        return array.stream().map(item -> reader.apply((JsonObject) item)).toList();
    }
}
