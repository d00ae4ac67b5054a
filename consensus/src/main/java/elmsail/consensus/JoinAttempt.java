package elmsail.consensus;

import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One attempt of a replica to join a voter slot under one epoch. Runs on the replica's event loop.
 *
 * <p>Its states, and the transitions between them:
 *
 * <ul>
 *   <li>{@link State#RECORDING}: the claim is being written to this replica's own disk. The claim
 *       is sent only afterwards, so that a restart of this replica cannot lose a claim that other
 *       processes have stored. If the write succeeds, the next state is {@code COLLECTING}; if the
 *       write fails, the attempt is retried.
 *   <li>{@link State#COLLECTING}: the claim was sent, and the responses are passed to the {@link
 *       JoinQuorum}. When there are enough acknowledgements, the next state is {@code
 *       TRANSFERRING}; {@link ReplicaJoin} explains why this is safe. When the remaining responses
 *       cannot be enough, the next state is {@code FAILED}.
 *   <li>{@link State#TRANSFERRING}: the records are being copied from the acknowledgers. If the
 *       transfer succeeds, the join is complete; if the transfer fails, the attempt is retried.
 *   <li>{@link State#FAILED}: waits for its retry, and for responses that are still in flight:
 *       these may name a rival, or report that their sender votes.
 * </ul>
 *
 * <p>A retry either starts a new attempt or leaves the slot to a rival. If the membership changes
 * so that {@link ReplicaJoin} starts another attempt or none, this attempt ends at once, in every
 * state, and the results of its calls and transfers are ignored.
 */
final class JoinAttempt {
  private enum State {
    RECORDING,
    COLLECTING,
    TRANSFERRING,
    FAILED
  }

  private final ReplicaJoin join;
  private final JoinContext context;
  private final ReplicaMembership membership;
  private final int slot;
  private final Voter claim;

  /** The instances that responded as voting, by their slots. */
  private final Map<Integer, Long> votingInstances = new HashMap<>();

  private State state = State.RECORDING;

  /** Null while {@code RECORDING}. */
  private JoinQuorum quorum;

  /**
   * Another instance that claims or holds the same slot under the same epoch; null if none is
   * known.
   */
  private Voter rival;

  /**
   * @param claim this instance as the voter of the slot, under the epoch that it claims
   */
  JoinAttempt(ReplicaJoin join, JoinContext context, int slot, Voter claim) {
    this.join = join;
    this.context = context;
    membership = context.membership();
    this.slot = slot;
    this.claim = claim;
  }

  boolean isFor(int otherSlot, int epoch) {
    return slot == otherSlot && claim.epoch == epoch;
  }

  private boolean isCurrent() {
    return join.isCurrent(this);
  }

  /** Sends the claim, which is on this replica's disk, to the other voters and predecessors. */
  void sendRequests() {
    if (!isCurrent()) {
      return;
    }
    state = State.COLLECTING;
    VoterSet known = membership.voterSet();
    quorum = new JoinQuorum(known, slot, membership.instanceId());
    JoinRequest request = new JoinRequest();
    request.set = context.names().set();
    request.slot = slot;
    request.voter = claim;
    for (int other = 0; other < known.voters.size(); other++) {
      Voter voter = known.voters.get(other);
      if (quorum.awaitsHolder(other)) {
        send(request, voter.address, other, false);
      }
      if (quorum.awaitsPredecessor(other)) {
        send(request, voter.previousAddress, other, true);
      }
    }
    if (quorum.isUnattainable()) {
      // There are too few other voters to acknowledge the claim, for example in a set of one voter.
      join.retryAfterBackoff(this);
    }
  }

  private void send(JoinRequest request, String address, int other, boolean toPredecessor) {
    context
        .rpcClient()
        .call(address, request, JoinResponse.class, ReplicaJoin.CALL_TIMEOUT_MS)
        .whenComplete((response, failure) -> onResponse(other, toPredecessor, response));
  }

  /**
   * Handles the response of a voter or of a predecessor.
   *
   * @param response null if there was no response
   */
  private void onResponse(int other, boolean fromPredecessor, JoinResponse response) {
    if (!isCurrent()) {
      return;
    }
    if (state == State.COLLECTING) {
      if (fromPredecessor) {
        quorum.onPredecessorResponse(other, response);
      } else {
        quorum.onHolderResponse(other, response);
      }
    }
    // Responses that arrive after the attempt failed count too: a failed call may end the attempt
    // before voting instances have responded.
    if (response != null && !fromPredecessor && response.voting) {
      votingInstances.put(other, response.instanceId);
    }
    if (response != null
        && response.voterSet.voters.size() == membership.voterSet().voters.size()) {
      Voter holder = response.voterSet.voters.get(slot);
      if (holder.epoch == claim.epoch && holder.instanceId != claim.instanceId) {
        rival = holder;
      }
      context.replica().learn(response.voterSet);
    }
    if (isCurrent() && state == State.COLLECTING) {
      concludeIfPossible();
    }
  }

  private void concludeIfPossible() {
    List<Voter> sources = quorum.sources();
    if (sources != null) {
      startTransfer(sources);
    } else if (quorum.isUnattainable()) {
      state = State.FAILED;
      if (rival != null && membership.joiningAsSpare()) {
        join.yieldTo(slot, rival);
      } else {
        join.retryAfterBackoff(this);
      }
    }
  }

  /**
   * Retries after a backoff. A rival that votes keeps the slot. This replica claims a higher epoch
   * only if enough other slots have a voting instance ({@link VoterSets#blockingSize}), because
   * otherwise the new claim cannot be completed. A claim that other processes have received but
   * that cannot be completed would stop the rival from voting without adding a voter.
   */
  void retry() {
    if (rival == null) {
      join.startAttempt(slot, claim.epoch);
    } else if (membership.joiningAsSpare() || membership.hostHoldsOtherSlot(slot)) {
      join.yieldTo(slot, rival);
    } else if (countVotingHolders()
        >= VoterSets.blockingSize(membership.voterSet().voters.size())) {
      join.startAttempt(slot, claim.epoch + 1);
    } else {
      VoterSet rivalsVoterSet = VoterSets.withVoter(membership.voterSet(), slot, rival);
      join.checkVoting(rival, rivalsVoterSet, this::onRivalChecked);
    }
  }

  private void onRivalChecked(boolean rivalVotes) {
    if (!isCurrent()) {
      return;
    }
    if (rivalVotes) {
      join.yieldTo(slot, rival);
    } else {
      join.startAttempt(slot, claim.epoch);
    }
  }

  /** The number of instances that responded as voting and hold their slot in the newest set. */
  private int countVotingHolders() {
    int count = 0;
    for (Map.Entry<Integer, Long> instance : votingInstances.entrySet()) {
      Voter holder = membership.voterSet().voters.get(instance.getKey());
      count += holder.instanceId == instance.getValue() ? 1 : 0;
    }
    return count;
  }

  private void startTransfer(List<Voter> sources) {
    state = State.TRANSFERRING;
    context.replica().dropAllKeys();
    new StateTransfer(
            context, sources, quorum.replacedSource(), this::isCurrent, this::onTransferEnded)
        .start();
  }

  private void onTransferEnded(boolean complete) {
    if (!isCurrent()) {
      return;
    }
    if (complete) {
      join.complete(claim.epoch);
    } else {
      join.retryAfterBackoff(this);
    }
  }
}
