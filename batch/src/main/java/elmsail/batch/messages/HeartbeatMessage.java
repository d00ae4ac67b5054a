package elmsail.batch.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * What a gateway says to a store of the jobs it runs, twice a second, and what is answered for
 * each.
 */
public record HeartbeatMessage(String gateway, List<Run> runs) {
  /** The store holds the job as open and run by this gateway in this term. */
  public static final int YOURS = 1;

  /** The job is ended, or another gateway runs it. */
  public static final int GONE = 2;

  /** This store does not know it, or only older terms: it decides nothing. */
  public static final int UNKNOWN = 0;

  /** One job that the gateway runs. */
  public record Run(String job, long term) {}

  /** The bytes that {@link #unpacked} reads. */
  public byte[] packed() {
    ByteWriter to = new ByteWriter().text(gateway).number(runs.size());
    for (Run run : runs) {
      to.text(run.job()).number(run.term());
    }
    return to.packed();
  }

  /** Fails with GARBLED where the bytes are not those of {@link #packed}. */
  public static HeartbeatMessage unpacked(byte[] bytes) {
    ByteReader from = new ByteReader(bytes);
    String gateway = from.text();
    int count = from.count();
    List<Run> runs = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      runs.add(new Run(from.text(), from.number()));
    }
    return new HeartbeatMessage(gateway, runs);
  }
}
