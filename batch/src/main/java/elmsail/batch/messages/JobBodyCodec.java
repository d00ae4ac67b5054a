package elmsail.batch.messages;

import elmsail.batch.BatchItem;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The batchItems of a job as one blob, written when it is accepted and never changed. */
public final class JobBodyCodec {
  private JobBodyCodec() {}

  /** The bytes of these items, which {@link #decode} reads. */
  public static byte[] encode(List<BatchItem> items) {
    ByteWriter writer = new ByteWriter().writeVarint(items.size());
    for (BatchItem item : items) {
      writer
          .writeString(item.id())
          .writeString(item.path())
          .writeVarint(item.tokens())
          .writeBytes(item.body());
      writer.writeVarint(item.headers().size());
      for (Map.Entry<String, String> header : item.headers().entrySet()) {
        writer.writeString(header.getKey()).writeString(header.getValue());
      }
    }
    return writer.toByteArray();
  }

  /** Named by what it holds, so that no two bodies share a name. */
  public static String blobName(byte[] encoded) {
    return "body-" + Long.toHexString(ContentDigest.of(encoded));
  }

  /** Fails with GARBLED. */
  public static List<BatchItem> decode(byte[] bytes) {
    ByteReader reader = new ByteReader(bytes);
    int count = reader.readCount();
    List<BatchItem> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String id = reader.readString();
      String path = reader.readString();
      long tokens = reader.readVarint();
      byte[] body = reader.readBytes();
      Map<String, String> headers = new LinkedHashMap<>();
      for (int left = reader.readCount(); left > 0; left--) {
        headers.put(reader.readString(), reader.readString());
      }
      items.add(new BatchItem(id, path, headers, body, tokens));
    }
    return items;
  }
}
