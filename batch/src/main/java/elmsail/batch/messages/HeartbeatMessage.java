package elmsail.batch.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * What a gateway says to a keeper of the jobs it runs, twice a second, and what it is told of each.
 */
public record HeartbeatMessage(String door, List<Run> runs) {
  /** The keeper holds the job as open and run by this gateway in this term. */
  public static final int YOURS = 1;

  /** The job is ended, or another gateway runs it. */
  public static final int GONE = 2;

  /** This keeper has not heard of it, or only of older terms: it says nothing. */
  public static final int UNKNOWN = 0;

  /** One job that the gateway runs. */
  public record Run(String job, long term) {}

  /** The bytes that {@link #unpacked} reads. */
  public byte[] packed() {
    ByteWriter to = new ByteWriter().text(door).number(runs.size());
    for (Run run : runs) {
      to.text(run.job()).number(run.term());
    }
    return to.packed();
  }

  /** Fails with GARBLED where the bytes are not those of {@link #packed}. */
  public static HeartbeatMessage unpacked(byte[] bytes) {
    ByteReader from = new ByteReader(bytes);
    String door = from.text();
    int count = from.count();
    List<Run> runs = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      runs.add(new Run(from.text(), from.number()));
    }
    return new HeartbeatMessage(door, runs);
  }
}
