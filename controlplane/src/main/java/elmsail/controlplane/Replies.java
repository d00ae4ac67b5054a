package elmsail.controlplane;

import elmsail.runtime.http.HttpReply;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/** Answers to operators. */
final class Replies {
  private static final Map<String, String> JSON = Map.of("content-type", "application/json");

  private Replies() {}

  static HttpReply json(int status, byte[] body) {
    return new HttpReply(status, JSON, body);
  }

  static HttpReply json(int status, String body) {
    return json(status, body.getBytes(StandardCharsets.UTF_8));
  }

  /** With why, for whoever reads the operator's log. */
  static HttpReply why(int status, String detail) {
    StringBuilder text = new StringBuilder("{\"why\":\"");
    for (int i = 0; i < detail.length(); i++) {
      char letter = detail.charAt(i);
      if (letter == '"' || letter == '\\') {
        text.append('\\').append(letter);
      } else {
        text.append(letter < ' ' ? ' ' : letter);
      }
    }
    return json(status, text.append("\"}").toString());
  }

  static CompletableFuture<HttpReply> now(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
