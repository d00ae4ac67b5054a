package elmsail.batch.api;

import elmsail.batch.messages.JobRecord;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Encodes one page of results as JSON. A page holds as many results as fit into 1 MB, and at least
 * one if there is any. The page is assembled as bytes because the texts are already UTF-8.
 */
final class ResultPage {
  private static final int MAX_PAGE_BYTES = 1_000_000;

  /**
   * Upper bound on the size of the JSON around the list of entries. Also the initial buffer space
   * for the JSON around the text of one entry.
   */
  private static final int MAX_JSON_OVERHEAD_BYTES = 100;

  private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

  private ResultPage() {}

  /**
   * Encodes the longest prefix of these results that fits into one page.
   *
   * @param afterPosition the number of results before this page
   * @param results the results of the record from that position on
   * @param texts the texts of these results in the same order; empty for failed items
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

  /** Appends UTF-8 text with quotes, backslashes and control characters escaped. */
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
