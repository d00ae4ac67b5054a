package elmsail.batch.api;

import elmsail.batch.messages.JobRecord;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The JSON of a read: as many of the results as stay below 1 MB, and one at least. */
final class ResultPage {
  private static final int MOST_BYTES = 1_000_000;
  private static final byte[] HEX = "0123456789abcdef".getBytes(StandardCharsets.US_ASCII);

  private ResultPage() {}

  static byte[] json(JobRecord record, long after, List<JobRecord.Result> given, byte[][] texts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    int count = 0;
    for (int i = 0; i < texts.length; i++) {
      byte[] one =
          one(record.items().get(given.get(i).index()).id(), given.get(i).delivered(), texts[i]);
      if (count > 0 && all.size() + one.length + 100 > MOST_BYTES) {
        break;
      }
      if (count++ > 0) {
        all.write(',');
      }
      all.writeBytes(one);
    }
    ByteArrayOutputStream whole = new ByteArrayOutputStream(all.size() + 100);
    plain(
        whole,
        "{\"total\":"
            + record.items().size()
            + ",\"next_token\":"
            + (after + count)
            + ",\"deliveries\":[");
    whole.writeBytes(all.toByteArray());
    plain(whole, "]}");
    return whole.toByteArray();
  }

  private static byte[] one(String id, boolean delivered, byte[] text) {
    ByteArrayOutputStream to = new ByteArrayOutputStream(text.length + 100);
    plain(to, "{\"id\":\"");
    escaped(to, id.getBytes(StandardCharsets.UTF_8));
    plain(
        to,
        delivered
            ? "\",\"state\":\"delivered\",\"message\":\""
            : "\",\"state\":\"undeliverable\",\"message\":\"");
    escaped(to, text);
    plain(to, "\"}");
    return to.toByteArray();
  }

  /** UTF-8 stays as it is. */
  private static void escaped(ByteArrayOutputStream to, byte[] text) {
    for (byte one : text) {
      if (one == '"' || one == '\\') {
        to.write('\\');
        to.write(one);
      } else if (one >= 0 && one < ' ') {
        plain(to, "\\u00");
        to.write(HEX[one >> 4]);
        to.write(HEX[one & 15]);
      } else {
        to.write(one);
      }
    }
  }

  private static void plain(ByteArrayOutputStream to, String text) {
    to.writeBytes(text.getBytes(StandardCharsets.UTF_8));
  }
}
