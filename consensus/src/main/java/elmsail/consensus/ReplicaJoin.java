package elmsail.consensus;

import elmsail.rpc.messages.ReadRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Makes an instance without a voter slot a voter: the instance claims a slot, and copies the
 * records of the voters that acknowledged the claim. This class decides which slot is claimed, and
 * when; a {@link JoinAttempt} carries out one claim. Runs on the replica's event loop.
 *
 * <p>Let N be the number of voter slots and q the majority. A claim raises the epoch of its slot,
 * and needs acknowledgements from N - q + 1 voters of other slots ("acknowledgers"), each of which
 * is voting and has the new voter set on its disk. No committed value is lost, for these reasons:
 *
 * <ul>
 *   <li>A proposer sends the accept requests of a ballot under the voter set under which the ballot
 *       was promised, and a voter votes only under exactly the voter set that it knows. So the
 *       votes of a commit, and the promises before it, were all made under one voter set.
 *   <li>After its acknowledgement a voter refuses all older voter sets. The remaining q - 1 slots,
 *       including the slot of the former instance, are no majority: nothing can be committed or
 *       promised under an older voter set any more. Every earlier commit or promise under an older
 *       voter set was made by a majority. At least one voter of this majority, in another slot than
 *       the claimed one, is an acknowledger and had voted before its acknowledgement. A copy from
 *       this voter that begins after the acknowledgement has the accepted ballot or a later one,
 *       and the promised ballot or a higher one. So this instance has them too, after it merged the
 *       highest accepted and promised ballots of all acknowledgers.
 *   <li>An accept request that is in flight when a voter acknowledges the claim is refused if it
 *       arrives after the acknowledgement. Its proposer starts over with a new promise under the
 *       new voter set.
 *   <li>A value that only a single voter accepted may be copied. A majority had promised the
 *       value's ballot, so storing the value is as harmless as having accepted it. But a copied
 *       value is not a vote: it is marked in the record ({@link AcceptorState#fromStateTransfer}),
 *       and doesn't count towards a majority that accepted the value, as the lost instance may have
 *       made promises that no other process knows.
 *   <li>During the state transfer this slot doesn't vote, so every value that is committed
 *       meanwhile has its majority among the other slots. Towards these values this instance is
 *       like a voter that missed some messages. A key's state is one record, which each voter reads
 *       atomically and which is merged by its own ballots, so the pages of a transfer need not be a
 *       consistent snapshot.
 *   <li>If this process ends during a join, its disk has its instance id and its claim, but not the
 *       completion of the transfer. After a restart it makes the same claim again, drops the
 *       records that it copied, and copies all records anew: an acknowledger may have lost its disk
 *       meanwhile, so no record that was copied earlier can be relied on.
 *   <li>If an acknowledger doesn't vote any more, or responds as another instance, the join starts
 *       over.
 * </ul>
 *
 * <p>{@link JoinQuorum} describes when a replaced voter is a source in place of its successor.
 */
final class ReplicaJoin {
  /** The timeout of one call of a join. */
  static final long CALL_TIMEOUT_MS = 1_000;

  private static final Logger LOG = LoggerFactory.getLogger(ReplicaJoin.class);
  private static final long INITIAL_BACKOFF_MS = 200;
  private static final long MAX_BACKOFF_MS = 1_000;

  private final JoinContext context;
  private final ReplicaMembership membership;
  private final SplittableRandom random;

  /** The current attempt, which may be waiting for its retry; null if there is no join. */
  private JoinAttempt attempt;

  private long backoffMs = INITIAL_BACKOFF_MS;

  ReplicaJoin(JoinContext context) {
    this.context = context;
    membership = context.membership();
    random = new SplittableRandom(membership.instanceId());
  }

  /**
   * Continues a claim of this instance, or claims the slot of an earlier instance of this host.
   * Ends the current attempt if there is neither such a claim nor such a slot.
   */
  void onMembershipChanged() {
    int ownSlot = membership.ownSlot();
    if (membership.isVoting()) {
      attempt = null;
    } else if (ownSlot >= 0) {
      int epoch = membership.voterSet().voters.get(ownSlot).epoch;
      if (attempt == null || !attempt.isFor(ownSlot, epoch)) {
        startAttempt(ownSlot, epoch);
      }
    } else {
      attempt = null;
      int formerSlot = membership.formerSlot();
      if (formerSlot >= 0) {
        membership.joiningAsSpare(false);
        startAttempt(formerSlot, membership.voterSet().voters.get(formerSlot).epoch + 1);
      }
    }
  }

  /**
   * Takes over the voter slot of another instance under this epoch. Does nothing if this instance
   * has a slot or claims one, or if the slot is known under this or a higher epoch.
   */
  void join(int slot, int epoch) {
    VoterSet known = membership.voterSet();
    if (membership.ownSlot() >= 0
        || slot < 0
        || slot >= known.voters.size()
        || epoch <= known.voters.get(slot).epoch) {
      return;
    }
    int replacedSlot = membership.replacedSlot();
    if (replacedSlot < 0 || replacedSlot == slot) {
      startAsSpare(slot, epoch);
      return;
    }
    // Until the successor of this instance in its former slot votes, this instance may have the
    // only records of that slot.
    checkVoting(
        known.voters.get(replacedSlot),
        known,
        successorVotes -> {
          if (successorVotes
              && membership.ownSlot() < 0
              && membership.replacedSlot() == replacedSlot
              && epoch > membership.voterSet().voters.get(slot).epoch) {
            startAsSpare(slot, epoch);
          }
        });
  }

  private void startAsSpare(int slot, int epoch) {
    membership.joiningAsSpare(true);
    startAttempt(slot, epoch);
  }

  /** Checks whether a voter votes under this voter set; a missing response counts as no. */
  void checkVoting(Voter voter, VoterSet voterSet, Consumer<Boolean> listener) {
    ReadRequest request = new ReadRequest();
    request.set = context.names().set();
    request.voterSet = voterSet;
    request.ballotOnly = true;
    context
        .rpcClient()
        .call(voter.address, request, VoteResponse.class, CALL_TIMEOUT_MS)
        .whenComplete(
            (response, failure) ->
                listener.accept(response != null && response.code == VoteResponse.OK));
  }

  /** Replaces the current attempt, if any, by an attempt for this slot and epoch. */
  void startAttempt(int slot, int epoch) {
    LOG.info("join started: set={} slot={} epoch={}", context.names().set(), slot, epoch);
    JoinAttempt next = new JoinAttempt(this, context, slot, membership.claim(slot, epoch));
    attempt = next;
    context
        .replica()
        .onVoterSetChanged()
        .whenComplete(
            (none, failure) -> {
              if (failure == null) {
                next.sendRequests();
              } else {
                retryAfterBackoff(next);
              }
            });
  }

  /** Whether this is the current attempt. */
  boolean isCurrent(JoinAttempt candidate) {
    return attempt == candidate;
  }

  /** Retries the current attempt after a random, growing backoff. */
  void retryAfterBackoff(JoinAttempt failed) {
    if (!isCurrent(failed)) {
      return;
    }
    long delayMs = backoffMs / 2 + random.nextLong(backoffMs / 2 + 1);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    context
        .timers()
        .schedule(
            delayMs,
            () -> {
              if (isCurrent(failed)) {
                failed.retry();
              }
            });
  }

  /** Ends the current attempt in favour of a rival of the same epoch. */
  void yieldTo(int slot, Voter rival) {
    attempt = null;
    membership.yieldTo(slot, rival);
    context.replica().onVoterSetChanged();
    onMembershipChanged();
  }

  /** Ends the current attempt after a complete state transfer: the replica starts to vote. */
  void complete(int epoch) {
    backoffMs = INITIAL_BACKOFF_MS;
    attempt = null;
    context.replica().onTransferCompleted(epoch);
  }
}
