package elmsail.batch.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * An open job of which a store has had no heartbeat.
 *
 * @param silentMs for how long, and since this store's start at most
 */
public record AbandonedJob(String job, long term, long silentMs) {

  /** The bytes that {@link #unpacked} reads. */
  public static byte[] packed(List<AbandonedJob> abandoned) {
    ByteWriter to = new ByteWriter().number(abandoned.size());
    for (AbandonedJob one : abandoned) {
      to.text(one.job()).number(one.term()).number(one.silentMs());
    }
    return to.packed();
  }

  /** Fails with GARBLED where the bytes are not those of {@link #packed}. */
  public static List<AbandonedJob> unpacked(byte[] bytes) {
    ByteReader from = new ByteReader(bytes);
    int count = from.count();
    List<AbandonedJob> abandoned = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      abandoned.add(new AbandonedJob(from.text(), from.number(), from.number()));
    }
    return abandoned;
  }
}
