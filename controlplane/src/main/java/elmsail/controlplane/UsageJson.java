package elmsail.controlplane;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SortedMap;

/** Encodes the body of a usage report to the platform; equal counts yield equal bytes. */
final class UsageJson {
  private static final char FIRST_PRINTABLE = ' ';

  private UsageJson() {}

  static byte[] encode(long window, SortedMap<String, Long> counts) {
    StringBuilder json = new StringBuilder(64 + counts.size() * 24);
    json.append("{\"window_no\":").append(window).append(",\"counts\":{");
    String separator = "";
    for (Map.Entry<String, Long> count : counts.entrySet()) {
      json.append(separator);
      appendString(json, count.getKey());
      json.append(':').append(count.getValue());
      separator = ",";
    }
    return json.append("}}").toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void appendString(StringBuilder json, String text) {
    json.append('"');
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character == '"' || character == '\\') {
        json.append('\\').append(character);
      } else if (character < FIRST_PRINTABLE) {
        json.append(String.format("\\u%04x", (int) character));
      } else {
        json.append(character);
      }
    }
    json.append('"');
  }
}
