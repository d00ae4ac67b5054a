package elmsail.consensus;

import static java.nio.charset.StandardCharsets.US_ASCII;

import elmsail.consensus.Register.CommittedState;
import elmsail.consensus.Register.ObservedState;
import elmsail.consensus.Register.ProposedValue;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;

/**
 * Changes of a random history that propose a value and may decline when they start over, each of a
 * key of its own, which other calls read and commit again. A change that was declined must not be
 * committed later.
 */
final class DeclinedChangeHistory {
  private static final long TIMEOUT_MS = 3_000;

  /** With one voter excluded no message that is delayed can be made up for by another voter. */
  private static final long FINAL_TIMEOUT_MS = 30_000;

  /** The keys of the newest changes, which calls of other clients choose from. */
  private static final int RECENT_KEYS = 6;

  private enum Result {
    OPEN,
    COMMITTED,
    DECLINED
  }

  /** One change. */
  private static final class Change {
    Result result = Result.OPEN;
    boolean hasProposed;
  }

  private final Random random;
  private final Map<Integer, Change> changes = new TreeMap<>();
  private int declinedAfterProposal;

  DeclinedChangeHistory(Random random) {
    this.random = random;
  }

  int declinedAfterProposal() {
    return declinedAfterProposal;
  }

  private static String key(int number) {
    return "once" + number;
  }

  /** Starts a new change, or a call that finds and commits again what an earlier one left. */
  CompletableFuture<?> runOne(RegisterClient client) {
    int newest = changes.size();
    if (newest > 0 && random.nextInt(3) == 0) {
      int number = newest - random.nextInt(Math.min(newest, RECENT_KEYS));
      return commitAgain(client, key(number), TIMEOUT_MS);
    }
    return propose(client, newest + 1);
  }

  private CompletableFuture<CommittedState> propose(RegisterClient client, int number) {
    Change change = new Change();
    changes.put(number, change);
    byte[] value = key(number).getBytes(US_ASCII);
    return client
        .change(
            key(number),
            observed -> proposeOrDecline(change, observed, value),
            List.of(),
            null,
            TIMEOUT_MS)
        .whenComplete((outcome, failure) -> onResult(change, outcome));
  }

  private ProposedValue proposeOrDecline(Change change, ObservedState observed, byte[] value) {
    boolean declines = observed.value() != null || change.hasProposed && random.nextInt(4) > 0;
    if (declines) {
      return ProposedValue.declined();
    }
    change.hasProposed = true;
    return new ProposedValue(value, List.of());
  }

  private void onResult(Change change, CommittedState outcome) {
    if (outcome == null) {
      return;
    }
    boolean isAbsent = outcome.current().value() == null;
    change.result = isAbsent ? Result.DECLINED : Result.COMMITTED;
    declinedAfterProposal += isAbsent && change.hasProposed ? 1 : 0;
  }

  private static CompletableFuture<CommittedState> commitAgain(
      RegisterClient client, String key, long timeoutMs) {
    return client.change(
        key,
        observed ->
            observed.value() == null
                ? ProposedValue.declined()
                : new ProposedValue(observed.value(), List.of()),
        List.of(),
        null,
        timeoutMs);
  }

  /** Commits each key again at every majority that lacks one voter, and checks what is there. */
  void checkAtEnd(
      FaultyCluster cluster,
      String[] voters,
      RegisterClient client,
      LinearizabilityChecker checker) {
    for (String excluded : voters) {
      cluster.setPartitioned(excluded, true);
      cluster.cutLinks.add("client0>" + excluded);
      for (Map.Entry<Integer, Change> entry : changes.entrySet()) {
        check(cluster, client, entry.getKey(), entry.getValue(), checker);
      }
      cluster.cutLinks.clear();
    }
  }

  private void check(
      FaultyCluster cluster,
      RegisterClient client,
      int number,
      Change change,
      LinearizabilityChecker checker) {
    byte[] found;
    try {
      found =
          cluster
              .await(commitAgain(client, key(number), FINAL_TIMEOUT_MS), FINAL_TIMEOUT_MS)
              .current()
              .value();
    } catch (RuntimeException e) {
      checker.violations.add("final read failed: " + key(number) + ": " + e);
      return;
    }
    if (change.result == Result.DECLINED && found != null) {
      checker.violations.add("declined, but committed: " + key(number));
    } else if (change.result == Result.COMMITTED && found == null) {
      checker.violations.add("committed, but absent: " + key(number));
    }
  }
}
