package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/** An in-memory register. Each call takes some ms, and the test determines its outcome. */
final class FakeRegister implements Register {

  /** The outcome of a change. */
  enum Outcome {
    COMMITTED,
    /** Not committed: fails with NO_QUORUM after 300 ms. */
    NOT_REACHED,
    /** Committed, but fails with OUTCOME_UNKNOWN after 300 ms. */
    UNKNOWN_COMMITTED,
    /** Not committed, and never will be: fails with OUTCOME_UNKNOWN after 300 ms. */
    UNKNOWN_LOST,
    /**
     * Another proposer changes the key between the first and the second round, so the change
     * function is called twice.
     */
    OVERTAKEN
  }

  final Map<String, VersionedValue> values = new HashMap<>();
  final Deque<Outcome> nextOutcomes = new ArrayDeque<>();
  boolean unreachable;

  /** Time until a read observes the value. */
  long readDelayMs = 2;

  /** Time from then until the response arrives. */
  long responseDelayMs;

  byte[] concurrentValue;
  int reads;
  int bytesRead;
  private final ManualTimers timers;
  private long rounds;

  FakeRegister(ManualTimers timers) {
    this.timers = timers;
  }

  @Override
  public CompletableFuture<VersionedValue> read(String key, Ballot known, long timeoutMs) {
    reads++;
    CompletableFuture<VersionedValue> future = new CompletableFuture<>();
    if (unreachable) {
      timers.schedule(timeoutMs, () -> fail(future, ErrorCode.NO_QUORUM));
      return future;
    }
    timers.schedule(
        readDelayMs,
        () -> {
          VersionedValue current = values.getOrDefault(key, new VersionedValue(new Ballot(), null));
          boolean isUnchanged = known != null && known.round == current.ballot().round;
          bytesRead += isUnchanged || current.value() == null ? 0 : current.value().length;
          VersionedValue result =
              isUnchanged ? new VersionedValue(current.ballot(), null) : current;
          if (responseDelayMs == 0) {
            future.complete(result);
          } else {
            timers.schedule(responseDelayMs, () -> future.complete(result));
          }
        });
    return future;
  }

  @Override
  public CompletableFuture<CommittedState> change(
      String key,
      Function<ObservedState, ProposedValue> change,
      List<Blob> blobs,
      byte[] note,
      long timeoutMs) {
    CompletableFuture<CommittedState> future = new CompletableFuture<>();
    Outcome outcome = nextOutcomes.isEmpty() ? Outcome.COMMITTED : nextOutcomes.poll();
    if (unreachable || outcome == Outcome.NOT_REACHED) {
      timers.schedule(Math.min(300, timeoutMs), () -> fail(future, ErrorCode.NO_QUORUM));
      return future;
    }
    timers.schedule(
        5,
        () -> {
          if (outcome == Outcome.OVERTAKEN) {
            ProposedValue unused = change.apply(observedState(key));
            put(key, concurrentValue);
          }
          ProposedValue proposed = change.apply(observedState(key));
          if (proposed.value() != null && outcome != Outcome.UNKNOWN_LOST) {
            put(key, proposed.value());
          }
          VersionedValue current = values.getOrDefault(key, new VersionedValue(new Ballot(), null));
          CommittedState committedState = new CommittedState(current, proposed.value() != null);
          if (outcome == Outcome.UNKNOWN_COMMITTED || outcome == Outcome.UNKNOWN_LOST) {
            timers.schedule(
                Math.min(300, timeoutMs), () -> fail(future, ErrorCode.OUTCOME_UNKNOWN));
          } else {
            timers.schedule(5, () -> future.complete(committedState));
          }
        });
    return future;
  }

  @Override
  public CompletableFuture<byte[]> readBlob(String key, String name, long timeoutMs) {
    return CompletableFuture.completedFuture(null);
  }

  private ObservedState observedState(String key) {
    VersionedValue current = values.get(key);
    return new ObservedState(current == null ? null : current.value(), List.of());
  }

  private void put(String key, byte[] value) {
    Ballot ballot = new Ballot();
    ballot.round = ++rounds;
    values.put(key, new VersionedValue(ballot, value));
  }

  private static void fail(CompletableFuture<?> future, ErrorCode code) {
    future.completeExceptionally(new ElmsailException(code, "failure injected by the test"));
  }
}
