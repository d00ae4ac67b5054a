package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.rpc.messages.Ballot;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The newest committed value of one register key that this process has seen. The key is read from a
 * majority at an interval; a read transfers no value while nothing newer is committed. Runs on the
 * event loop.
 */
final class CommittedValue {
  private static final Logger LOG = LoggerFactory.getLogger(CommittedValue.class);

  private static final long READ_TIMEOUT_MS = 600;

  /**
   * Delay before the next read after a failed one; short, so that contact is restored soon after a
   * partition has healed.
   */
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

  /** Creates an instance that reads nothing before {@link #refresh()}. */
  CommittedValue(Register register, String key, Timers timers, long readIntervalMs) {
    this.register = register;
    this.key = key;
    this.timers = timers;
    this.readIntervalMs = readIntervalMs;
    this.quorumContact = new QuorumContact(timers);
  }

  /** Adds a listener that is called with each newer value, never with null. */
  void addListener(Consumer<byte[]> listener) {
    listeners.add(listener);
  }

  /** Starts a read now, or after the read that is in flight. */
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
        .whenComplete((readResult, failure) -> onReadCompleted(readResult, failure, sentAtMs));
  }

  private void onReadCompleted(
      Register.VersionedValue readResult, Throwable failure, long sentAtMs) {
    readInFlight = false;
    if (closed) {
      return;
    }
    if (failure == null) {
      offer(readResult);
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

  /**
   * Takes the result of a read or a change; a missing value or one that is not newer is ignored.
   */
  void offer(Register.VersionedValue candidate) {
    if (candidate == null || candidate.value() == null || candidate.ballot() == null) {
      return;
    }
    if (ballot != null && compare(candidate.ballot(), ballot) <= 0) {
      return;
    }
    ballot = candidate.ballot();
    value = candidate.value();
    for (Consumer<byte[]> listener : listeners) {
      notifyListener(listener);
    }
  }

  /**
   * A listener's exception must neither end the reads nor keep the other listeners from the value.
   */
  private void notifyListener(Consumer<byte[]> listener) {
    try {
      listener.accept(value);
    } catch (RuntimeException e) {
      LOG.error("committed value of {} not applied by a listener", key, e);
    }
  }

  /**
   * Returns the value of a read that was made with {@link #ballot()}: the value kept here if the
   * read found nothing newer. A newer value may have been kept here while the read was in flight.
   * That value was committed after the read began, so it is a valid result and is returned.
   */
  byte[] resolveValue(Register.VersionedValue readResult) {
    boolean isUnchanged =
        readResult.value() == null
            && ballot != null
            && (readResult.ballot() == null || compare(readResult.ballot(), ballot) <= 0);
    return isUnchanged ? value : readResult.value();
  }

  /** The ballot of the newest value seen; null before the first value. */
  Ballot ballot() {
    return ballot;
  }

  /** The newest value seen; null before the first value. Callers must not modify the array. */
  byte[] value() {
    return value;
  }

  /** Whether a read has succeeded since this process started. */
  boolean hasBeenRead() {
    return hasBeenRead;
  }

  /**
   * The contact with a majority by reads of this key. When a read that counts was sent, nothing
   * newer than the kept value was committed.
   */
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
