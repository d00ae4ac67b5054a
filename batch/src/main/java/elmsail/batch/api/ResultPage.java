package elmsail.batch.api;

import elmsail.batch.messages.JobRecord;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The JSON of a read: as many of the results as stay below 1 MB, and one at least. */
final class ResultPage {
  private static final int MAX_PAGE_BYTES = 1_000_000;
  private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

  private ResultPage() {}

  static byte[] toJson(
      JobRecord record, long afterPosition, List<JobRecord.Result> results, byte[][] texts) {
    ByteArrayOutputStream entries = new ByteArrayOutputStream();
    int count = 0;
    for (int i = 0; i < texts.length; i++) {
      byte[] entry =
          entry(
              record.items().get(results.get(i).itemIndex()).id(),
              results.get(i).succeeded(),
              texts[i]);
      if (count > 0 && entries.size() + entry.length + 100 > MAX_PAGE_BYTES) {
        break;
      }
      if (count++ > 0) {
        entries.write(',');
      }
      entries.writeBytes(entry);
    }
    ByteArrayOutputStream page = new ByteArrayOutputStream(entries.size() + 100);
    append(
        page,
        "{\"total\":"
            + record.items().size()
            + ",\"next_token\":"
            + (afterPosition + count)
            + ",\"deliveries\":[");
    page.writeBytes(entries.toByteArray());
    append(page, "]}");
    return page.toByteArray();
  }

  private static byte[] entry(String id, boolean succeeded, byte[] text) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(text.length + 100);
    append(out, "{\"id\":\"");
    appendEscaped(out, id.getBytes(StandardCharsets.UTF_8));
    append(
        out,
        succeeded
            ? "\",\"state\":\"delivered\",\"message\":\""
            : "\",\"state\":\"undeliverable\",\"message\":\"");
    appendEscaped(out, text);
    append(out, "\"}");
    return out.toByteArray();
  }

  /** UTF-8 stays as it is. */
  private static void appendEscaped(ByteArrayOutputStream out, byte[] text) {
    for (byte c : text) {
      if (c == '"' || c == '\\') {
        out.write('\\');
        out.write(c);
      } else if (c >= 0 && c < ' ') {
        append(out, "\\u00");
        out.write(HEX[c >> 4]);
        out.write(HEX[c & 15]);
      } else {
        out.write(c);
      }
    }
  }

  private static void append(ByteArrayOutputStream out, String text) {
    out.writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
