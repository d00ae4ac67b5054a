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

/** A register in memory: each call takes some ms, and ends as the test says. */
final class FakeRegister implements Register {

  /** How the next change ends. */
  enum Outcome {
    COMMITTED,
    /** Not committed: fails with NO_QUORUM after 300 ms. */
    NOT_REACHED,
    /** Committed, but fails with OUTCOME_UNKNOWN after 300 ms. */
    UNKNOWN_COMMITTED,
    /** Not committed, and never will be: fails with OUTCOME_UNKNOWN after 300 ms. */
    UNKNOWN_LOST,
    /**
     * Another changes the key between the first round and the second: the function is called twice.
     */
    OVERTAKEN
  }

  final Map<String, VersionedValue> values = new HashMap<>();
  final Deque<Outcome> nextOutcomes = new ArrayDeque<>();
  boolean unreachable;

  /** How long a read takes. */
  long readMs = 2;

  /** How long its answer is on its way then. */
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
        readMs,
        () -> {
          VersionedValue now = values.getOrDefault(key, new VersionedValue(new Ballot(), null));
          boolean spared = known != null && known.round == now.ballot().round;
          bytesRead += spared || now.value() == null ? 0 : now.value().length;
          VersionedValue told = spared ? new VersionedValue(now.ballot(), null) : now;
          if (responseDelayMs == 0) {
            future.complete(told);
          } else {
            timers.schedule(responseDelayMs, () -> future.complete(told));
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
    Outcome fate = nextOutcomes.isEmpty() ? Outcome.COMMITTED : nextOutcomes.poll();
    if (unreachable || fate == Outcome.NOT_REACHED) {
      timers.schedule(Math.min(300, timeoutMs), () -> fail(future, ErrorCode.NO_QUORUM));
      return future;
    }
    timers.schedule(
        5,
        () -> {
          if (fate == Outcome.OVERTAKEN) {
            ProposedValue unused = change.apply(found(key));
            put(key, concurrentValue);
          }
          ProposedValue wanted = change.apply(found(key));
          if (wanted.value() != null && fate != Outcome.UNKNOWN_LOST) {
            put(key, wanted.value());
          }
          VersionedValue now = values.getOrDefault(key, new VersionedValue(new Ballot(), null));
          CommittedState held = new CommittedState(now, wanted.value() != null);
          if (fate == Outcome.UNKNOWN_COMMITTED || fate == Outcome.UNKNOWN_LOST) {
            timers.schedule(
                Math.min(300, timeoutMs), () -> fail(future, ErrorCode.OUTCOME_UNKNOWN));
          } else {
            timers.schedule(5, () -> future.complete(held));
          }
        });
    return future;
  }

  @Override
  public CompletableFuture<byte[]> readBlob(String key, String name, long timeoutMs) {
    return CompletableFuture.completedFuture(null);
  }

  private ObservedState found(String key) {
    VersionedValue now = values.get(key);
    return new ObservedState(now == null ? null : now.value(), List.of());
  }

  private void put(String key, byte[] value) {
    Ballot ballot = new Ballot();
    ballot.round = ++rounds;
    values.put(key, new VersionedValue(ballot, value));
  }

  private static void fail(CompletableFuture<?> future, ErrorCode code) {
    future.completeExceptionally(new ElmsailException(code, "failure asked for by the test"));
  }
}
