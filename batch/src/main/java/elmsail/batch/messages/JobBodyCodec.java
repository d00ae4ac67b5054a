package elmsail.batch.messages;

import elmsail.batch.BatchItem;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The binary encoding of the items of a job. The items are stored as one blob, which is written
 * when the job is accepted and never changes. The layout is fixed because stores keep blobs that
 * earlier software versions wrote.
 */
public final class JobBodyCodec {
  private JobBodyCodec() {}

  /** Encodes these items for {@link #decode}. */
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

  /**
   * The name of the blob with these bytes. The name contains the digest of the bytes, so different
   * bodies get different names.
   */
  public static String blobName(byte[] encoded) {
    return "body-" + Long.toHexString(ContentDigest.of(encoded));
  }

  /**
   * Decodes the items from these bytes.
   *
   * @throws elmsail.runtime.ElmsailException with {@code MALFORMED} if {@link #encode} did not
   *     write them
   */
  public static List<BatchItem> decode(byte[] bytes) {
    ByteReader reader = new ByteReader(bytes);
    int count = reader.readCount();
    List<BatchItem> items = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      String id = reader.readString();
      String path = reader.readString();
      long tokens = reader.readVarint();
      byte[] body = reader.readBytes();
      items.add(new BatchItem(id, path, readHeaders(reader), body, tokens));
    }
    return items;
  }

  private static Map<String, String> readHeaders(ByteReader reader) {
    Map<String, String> headers = new LinkedHashMap<>();
    for (int remaining = reader.readCount(); remaining > 0; remaining--) {
      headers.put(reader.readString(), reader.readString());
    }
    return headers;
  }
}
