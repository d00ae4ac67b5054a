package elmsail.batch;

import java.nio.charset.StandardCharsets;
import java.util.Base64;

/** Builds the JSON that clients send to submit jobs and receive as results. */
final class JobJson {
  private JobJson() {}

  /**
   * A job whose items have the ids {@code <jobId>-0}, {@code <jobId>-1} and so on, and the bodies
   * {@code body <jobId>0}, {@code body <jobId>1} and so on.
   */
  static byte[] job(String jobId, int items, long tokens) {
    StringBuilder json = new StringBuilder();
    for (int i = 0; i < items; i++) {
      String body = base64("body " + jobId + i);
      json.append(i == 0 ? "" : ",")
          .append(
              item(jobId + "-" + i, "/lots1/x/" + i, "{\"Elmsail-Model\":\"m\"}", body, tokens));
    }
    return submission(json);
  }

  /**
   * A job whose items have the ids {@code <jobId>-0}, {@code <jobId>-1} and so on, and bodies of
   * {@code itemBytes} each.
   */
  static byte[] largeJob(String jobId, int items, long tokens, int itemBytes) {
    String body = base64("x".repeat(itemBytes));
    StringBuilder json = new StringBuilder();
    for (int i = 0; i < items; i++) {
      json.append(i == 0 ? "" : ",")
          .append(item(jobId + "-" + i, "/lots1/x/1", "{}", body, tokens));
    }
    return submission(json);
  }

  /** The JSON of the result of an item that {@link SimServers.Run#complete} has completed. */
  static String completedResult(String itemId) {
    return "{\"id\":\""
        + itemId
        + "\",\"state\":\"delivered\",\"message\":\""
        + itemId
        + "/0\\u000a"
        + itemId
        + "/1\"}";
  }

  private static String item(String id, String path, String headers, String body, long tokens) {
    return "{\"id\":\""
        + id
        + "\",\"lane\":\""
        + path
        + "\",\"envelope\":"
        + headers
        + ",\"contents\":\""
        + body
        + "\",\"tokens\":"
        + tokens
        + "}";
  }

  private static byte[] submission(StringBuilder items) {
    return ("{\"pieces\":[" + items + "]}").getBytes(StandardCharsets.UTF_8);
  }

  private static String base64(String text) {
    return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
  }
}
