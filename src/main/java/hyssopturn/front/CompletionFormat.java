package hyssopturn.front;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

import java.util.Optional;
import java.util.stream.Collectors;

/** JSON formats of chat completions and text completions. */
enum CompletionFormat {
    CHAT("chat.completion"),
    TEXT("text_completion");

    private final String object;

    CompletionFormat(String object) {
        this.object = object;
    }

    Optional<String> prompt(JsonObject body) {
        if (this == TEXT) {
            return body.getValue("prompt") instanceof String prompt
                    ? Optional.of(prompt)
                    : Optional.empty();
        }
        if (!(body.getValue("messages") instanceof JsonArray messages)) {
            return Optional.empty();
        }
        return Optional.of(
                messages.stream()
                        .filter(JsonObject.class::isInstance)
                        .map(m -> ((JsonObject) m).getValue("content"))
                        .filter(String.class::isInstance)
                        .map(String.class::cast)
                        .collect(Collectors.joining("\n")));
    }

    JsonObject chunk(String id, String model, String text, String finishReason) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", finishReason);
        if (this == CHAT) {
            choice.put("delta", new JsonObject().put("content", text));
        } else {
            choice.put("text", text);
        }
        return envelope(id, model, this == CHAT ? object + ".chunk" : object, choice);
    }

    JsonObject completion(String id, String model, String text, int tokens) {
        JsonObject choice = new JsonObject().put("index", 0).put("finish_reason", "stop");
        if (this == CHAT) {
            choice.put("message", new JsonObject().put("role", "assistant").put("content", text));
        } else {
            choice.put("text", text);
        }
        return envelope(id, model, object, choice)
                .put("usage", new JsonObject().put("completion_tokens", tokens));
    }

    private static JsonObject envelope(
            String id, String model, String objectType, JsonObject choice) {
        return new JsonObject()
                .put("id", id)
                .put("object", objectType)
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
    }
}
