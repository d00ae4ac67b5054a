package elmsail.batch.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * An open job of which a keeper has heard nothing from its runner.
 *
 * @param unheardMs for how long, and since this keeper's start at most
 */
public record AbandonedJob(String job, long term, long unheardMs) {

  /** The bytes that {@link #unpacked} reads. */
  public static byte[] packed(List<AbandonedJob> orphans) {
    ByteWriter to = new ByteWriter().number(orphans.size());
    for (AbandonedJob one : orphans) {
      to.text(one.job()).number(one.term()).number(one.unheardMs());
    }
    return to.packed();
  }

  /** Fails with GARBLED where the bytes are not those of {@link #packed}. */
  public static List<AbandonedJob> unpacked(byte[] bytes) {
    ByteReader from = new ByteReader(bytes);
    int count = from.count();
    List<AbandonedJob> orphans = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      orphans.add(new AbandonedJob(from.text(), from.number(), from.number()));
    }
    return orphans;
  }
}
