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
  private static final long RETRY_MS = 100;

  private final Register register;
  private final String key;
  private final Timers timers;
  private final long everyMs;
  private final List<Consumer<byte[]>> listeners = new ArrayList<>();
  private final QuorumContact contact;
  private Ballot ballot;
  private byte[] value;
  private boolean read;
  private boolean reading;
  private boolean again;
  private boolean closed;
  private Timers.Timer timer;

  CommittedValue(Register register, String key, Timers timers, long everyMs) {
    this.register = register;
    this.key = key;
    this.timers = timers;
    this.everyMs = everyMs;
    this.contact = new QuorumContact(timers);
  }

  /** Called with the value whenever a newer one was seen. */
  void whenNewer(Consumer<byte[]> listener) {
    listeners.add(listener);
  }

  /** Reads now, or once more behind the read under way. */
  void refresh() {
    if (closed) {
      return;
    }
    if (reading) {
      again = true;
      return;
    }
    reading = true;
    if (timer != null) {
      timer.cancel();
      timer = null;
    }
    long sentAt = timers.now();
    register
        .read(key, ballot, READ_TIMEOUT_MS)
        .whenComplete((now, failed) -> done(now, failed, sentAt));
  }

  private void done(Register.VersionedValue now, Throwable failed, long sentAt) {
    reading = false;
    if (closed) {
      return;
    }
    if (failed == null) {
      take(now);
      read = true;
      contact.answered(sentAt);
    }
    if (again) {
      again = false;
      refresh();
    } else {
      timer = timers.schedule(failed == null ? everyMs : Math.min(everyMs, RETRY_MS), this::refresh);
    }
  }

  /** Takes what a read or a change gave; older ones are passed over. */
  void take(Register.VersionedValue now) {
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
   * The bytes of a read made with {@link #known()}: those kept where nothing was newer. Something
   * newer may have been taken here while that read's answers were on their way; it was decided
   * since, so it is given instead.
   */
  byte[] valueOf(Register.VersionedValue now) {
    boolean spared =
        now.value() == null
            && ballot != null
            && (now.ballot() == null || compare(now.ballot(), ballot) <= 0);
    return spared ? value : now.value();
  }

  Ballot known() {
    return ballot;
  }

  /** Null: none decided as far as is known. */
  byte[] value() {
    return value;
  }

  /** Whether a read has succeeded in this instance. */
  boolean read() {
    return read;
  }

  /** When a majority last answered a read of this key: then nothing newer was decided. */
  QuorumContact contact() {
    return contact;
  }

  void close() {
    closed = true;
    if (timer != null) {
      timer.cancel();
    }
  }

  private static int compare(Ballot one, Ballot other) {
    return one.round != other.round
        ? Long.compare(one.round, other.round)
        : Long.compare(one.proposerId, other.proposerId);
  }
}
