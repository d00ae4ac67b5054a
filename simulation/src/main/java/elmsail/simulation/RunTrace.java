package elmsail.simulation;

import elmsail.rpc.MessageCodec;
import elmsail.runtime.ElmsailException;
import java.util.ArrayList;
import java.util.List;

/** What happened on a {@link SimNetwork}: a digest of all messages, and faults of handlers. */
final class RunTrace {

  private final MessageCodec codec;
  private final List<Throwable> faults = new ArrayList<>();
  private long digest;

  /** The process whose traffic is counted, or null. */
  private String countedAddress;

  private long countedBytes;

  RunTrace(MessageCodec codec) {
    this.codec = codec;
  }

  /** A message was sent at that time; null stands for one without content. */
  void onMessageSent(String from, String to, Object message, long now) {
    String type = message == null ? "" : message.getClass().getSimpleName();
    digest = digest * 31 + (from + to + type).hashCode();
    digest = digest * 31 + now;
    if (message != null && (from.equals(countedAddress) || to.equals(countedAddress))) {
      countedBytes += codec.encodedBytes(message);
    }
  }

  /** A handler failed; recorded unless the cause is an {@link ElmsailException}. */
  void onHandlerFailure(Throwable thrown) {
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
    countedAddress = address;
    countedBytes = 0;
  }

  long countedBytes() {
    return countedBytes;
  }
}
