package elmsail.simulation;

import elmsail.rpc.Codec;
import elmsail.runtime.ElmsailException;
import java.util.ArrayList;
import java.util.List;

/** What happened on a {@link SimNet}: a digest of all messages, and the faults of handlers. */
final class RunRecord {

  private final Codec codec;
  private final List<Throwable> faults = new ArrayList<>();
  private long digest;

  /** The process whose traffic is counted; null: none. */
  private String counted;

  private long countedBytes;

  RunRecord(Codec codec) {
    this.codec = codec;
  }

  /** A message was sent at that time. */
  void sent(String from, String to, Object message, long now) {
    String type = message == null ? "" : message.getClass().getSimpleName();
    digest = digest * 31 + (from + to + type).hashCode();
    digest = digest * 31 + now;
    if (message != null && (from.equals(counted) || to.equals(counted))) {
      countedBytes += codec.size(message);
    }
  }

  /** A handler failed; kept only if no {@link ElmsailException} is among the causes. */
  void failed(Throwable thrown) {
    Throwable cause = thrown;
    while (cause != null && !(cause instanceof ElmsailException)) {
      cause = cause.getCause();
    }
    if (cause == null) {
      faults.add(thrown);
    }
  }

  List<Throwable> faults() {
    return faults;
  }

  long digest() {
    return digest;
  }

  void countBytes(String address) {
    counted = address;
    countedBytes = 0;
  }

  long countedBytes() {
    return countedBytes;
  }
}
