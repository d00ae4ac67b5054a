package elmsail.controlplane;

import elmsail.runtime.http.SimpleHttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Replies to operators: JSON over HTTP. */
final class Replies {
  private static final Map<String, String> JSON = Map.of("content-type", "application/json");

  private Replies() {}

  static SimpleHttpResponse json(int status, byte[] body) {
    return new SimpleHttpResponse(status, JSON, body);
  }

  static SimpleHttpResponse json(int status, String body) {
    return json(status, body.getBytes(StandardCharsets.UTF_8));
  }

  /** An error with its reason, for the operator's log; control characters become spaces. */
  static SimpleHttpResponse error(int status, String reason) {
    StringBuilder text = new StringBuilder("{\"why\":\"");
    for (int i = 0; i < reason.length(); i++) {
      char character = reason.charAt(i);
      if (character == '"' || character == '\\') {
        text.append('\\').append(character);
      } else {
        text.append(character < ' ' ? ' ' : character);
      }
    }
    return json(status, text.append("\"}").toString());
  }

  static CompletableFuture<SimpleHttpResponse> completed(SimpleHttpResponse response) {
    return CompletableFuture.completedFuture(response);
  }
}
