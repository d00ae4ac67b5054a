package elmsail.batch.api;

import elmsail.batch.messages.JobRecord;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The JSON of one page of results, with as many of them as fit into 1 MB, and one at least. It is
 * assembled as bytes, since the texts are UTF-8 already.
 */
final class ResultPage {
  private static final int MAX_PAGE_BYTES = 1_000_000;

  /** More than the JSON around the entries, and that around the text of one entry, takes. */
  private static final int MAX_JSON_OVERHEAD_BYTES = 100;

  private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

  private ResultPage() {}

  /**
   * @param afterPosition the number of results before this page
   * @param results of the record, from that position on
   * @param texts of these results, in the same order; of the failed ones empty
   */
  static byte[] toJson(
      JobRecord record, long afterPosition, List<JobRecord.Result> results, byte[][] texts) {
    ByteArrayOutputStream entries = new ByteArrayOutputStream();
    int count = 0;
    for (int i = 0; i < texts.length; i++) {
      JobRecord.Result result = results.get(i);
      String itemId = record.items().get(result.itemIndex()).id();
      byte[] entry = entry(itemId, result.succeeded(), texts[i]);
      if (count > 0 && entries.size() + entry.length + MAX_JSON_OVERHEAD_BYTES > MAX_PAGE_BYTES) {
        break;
      }
      if (count > 0) {
        entries.write(',');
      }
      count++;
      entries.writeBytes(entry);
    }
    ByteArrayOutputStream page =
        new ByteArrayOutputStream(entries.size() + MAX_JSON_OVERHEAD_BYTES);
    append(page, "{\"total\":" + record.items().size());
    append(page, ",\"next_token\":" + (afterPosition + count));
    append(page, ",\"deliveries\":[");
    page.writeBytes(entries.toByteArray());
    append(page, "]}");
    return page.toByteArray();
  }

  private static byte[] entry(String itemId, boolean succeeded, byte[] text) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(text.length + MAX_JSON_OVERHEAD_BYTES);
    append(out, "{\"id\":\"");
    appendEscaped(out, itemId.getBytes(StandardCharsets.UTF_8));
    append(out, "\",\"state\":\"" + (succeeded ? "delivered" : "undeliverable"));
    append(out, "\",\"message\":\"");
    appendEscaped(out, text);
    append(out, "\"}");
    return out.toByteArray();
  }

  /** Appends UTF-8 with quotes, backslashes and control characters escaped. */
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
