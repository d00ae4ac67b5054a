package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.rpc.messages.Ballot;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * One key of the register as this process last saw it decided: read at a majority every so often,
 * which costs no bytes while nothing is newer. All on the loop.
 */
final class CommittedValue {
  private static final long READ_TIMEOUT_MS = 600;

  /** After a read that failed, so that contact is back soon after a cut has healed. */
  private static final long RETRY_DELAY_MS = 100;

  private final Register register;
  private final String key;
  private final Timers timers;
  private final long readIntervalMs;
  private final List<Consumer<byte[]>> listeners = new ArrayList<>();
  private final QuorumContact quorumContact;
  private Ballot ballot;
  private byte[] value;
  private boolean hasBeenRead;
  private boolean readInFlight;
  private boolean rereadRequested;
  private boolean closed;
  private Timers.Timer nextReadTimer;

  CommittedValue(Register register, String key, Timers timers, long readIntervalMs) {
    this.register = register;
    this.key = key;
    this.timers = timers;
    this.readIntervalMs = readIntervalMs;
    this.quorumContact = new QuorumContact(timers);
  }

  /** Called with the value whenever a newer one was seen. */
  void addListener(Consumer<byte[]> listener) {
    listeners.add(listener);
  }

  /** Reads now, or once more behind the read under way. */
  void refresh() {
    if (closed) {
      return;
    }
    if (readInFlight) {
      rereadRequested = true;
      return;
    }
    readInFlight = true;
    if (nextReadTimer != null) {
      nextReadTimer.cancel();
      nextReadTimer = null;
    }
    long sentAtMs = timers.now();
    register
        .read(key, ballot, READ_TIMEOUT_MS)
        .whenComplete((now, failure) -> onReadCompleted(now, failure, sentAtMs));
  }

  private void onReadCompleted(Register.VersionedValue now, Throwable failure, long sentAtMs) {
    readInFlight = false;
    if (closed) {
      return;
    }
    if (failure == null) {
      offer(now);
      hasBeenRead = true;
      quorumContact.onRoundCompleted(sentAtMs);
    }
    if (rereadRequested) {
      rereadRequested = false;
      refresh();
    } else {
      nextReadTimer =
          timers.schedule(
              failure == null ? readIntervalMs : Math.min(readIntervalMs, RETRY_DELAY_MS),
              this::refresh);
    }
  }

  /** Takes what a read or a change gave; older ones are passed over. */
  void offer(Register.VersionedValue now) {
    if (now == null || now.value() == null || now.ballot() == null) {
      return;
    }
    if (ballot != null && compare(now.ballot(), ballot) <= 0) {
      return;
    }
    ballot = now.ballot();
    value = now.value();
    for (Consumer<byte[]> listener : listeners) {
      listener.accept(value);
    }
  }

  /**
   * The bytes of a read made with {@link #ballot()}: those kept where nothing was newer. Something
   * newer may have been taken here while that read's answers were on their way; it was decided
   * since, so it is given instead.
   */
  byte[] resolveValue(Register.VersionedValue now) {
    boolean isUnchanged =
        now.value() == null
            && ballot != null
            && (now.ballot() == null || compare(now.ballot(), ballot) <= 0);
    return isUnchanged ? value : now.value();
  }

  Ballot ballot() {
    return ballot;
  }

  /** Null: none decided as far as is known. */
  byte[] value() {
    return value;
  }

  /** Whether a read has succeeded in this instance. */
  boolean hasBeenRead() {
    return hasBeenRead;
  }

  /** When a majority last answered a read of this key: then nothing newer was decided. */
  QuorumContact quorumContact() {
    return quorumContact;
  }

  void close() {
    closed = true;
    if (nextReadTimer != null) {
      nextReadTimer.cancel();
    }
  }

  private static int compare(Ballot left, Ballot right) {
    return left.round != right.round
        ? Long.compare(left.round, right.round)
        : Long.compare(left.proposerId, right.proposerId);
  }
}
