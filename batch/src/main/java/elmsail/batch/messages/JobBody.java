package elmsail.batch.messages;

import elmsail.batch.BatchItem;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The batchItems of a job as one blob, written when it is accepted and never changed. */
public final class JobBody {
  private JobBody() {}

  /** The bytes of these items, which {@link #unpacked} reads. */
  public static byte[] packed(List<BatchItem> batchItems) {
    ByteWriter to = new ByteWriter().number(batchItems.size());
    for (BatchItem batchItem : batchItems) {
      to.text(batchItem.id())
          .text(batchItem.lane())
          .number(batchItem.tokens())
          .bytes(batchItem.contents());
      to.number(batchItem.envelope().size());
      for (Map.Entry<String, String> header : batchItem.envelope().entrySet()) {
        to.text(header.getKey()).text(header.getValue());
      }
    }
    return to.packed();
  }

  /** Named by what it holds, so that no two bodies share a name. */
  public static String nameOf(byte[] packed) {
    return "body-" + Long.toHexString(ContentDigest.of(packed));
  }

  /** Fails with GARBLED. */
  public static List<BatchItem> unpacked(byte[] bytes) {
    ByteReader from = new ByteReader(bytes);
    int count = from.count();
    List<BatchItem> batchItems = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String id = from.text();
      String lane = from.text();
      long tokens = from.number();
      byte[] contents = from.bytes();
      Map<String, String> envelope = new LinkedHashMap<>();
      for (int left = from.count(); left > 0; left--) {
        envelope.put(from.text(), from.text());
      }
      batchItems.add(new BatchItem(id, lane, envelope, contents, tokens));
    }
    return batchItems;
  }
}
