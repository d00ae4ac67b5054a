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
 * Makes an instance without a voter slot a voter: it claims a slot, and copies the records of the
 * voters that acknowledged the claim. This class decides which slot is claimed, and when; a {@link
 * JoinAttempt} carries one claim out. Runs on the replica's event loop.
 *
 * <p>Let N be the number of voter slots and q the majority. A claim raises the epoch of its slot,
 * and needs acknowledgements from N - q + 1 voters of other slots ("acknowledgers"), each of which
 * is voting and has the new voter set on its disk. Why nothing that was committed is lost:
 *
 * <ul>
 *   <li>A proposer sends the accepts of a ballot under the voter set under which the ballot was
 *       promised, and a voter votes only under exactly the voter set that it knows. So the votes of
 *       a commit, and the promises before it, were all made under one voter set.
 *   <li>After its acknowledgement a voter refuses all older voter sets. The remaining q - 1 slots,
 *       that of the former instance included, are no majority: nothing can be committed or promised
 *       under an older voter set any more. What was, was by a majority of which at least one voter
 *       other than the claimed slot's acknowledged, and had voted before that. A copy that is begun
 *       after the acknowledgement has that accept or a later one, and that promise or a higher one,
 *       and so has this instance once it merged the highest of both from all acknowledgers.
 *   <li>An accept that is in flight when a voter acknowledges the claim is refused if it arrives
 *       later, and its proposer starts over with a new promise under the new voter set.
 *   <li>A value that a single voter accepted may be copied. A majority had promised its ballot, so
 *       having it is as harmless as having accepted it. But it is not a vote: the record says so
 *       ({@link AcceptorState#fromStateTransfer}), and doesn't count towards a majority that
 *       accepted the value, as the promises that the lost instance made may have been known to it
 *       alone.
 *   <li>During the state transfer this slot doesn't vote, so whatever is committed then has its
 *       majority among the others; this instance is then like a voter that missed some messages. A
 *       key's state is one record, read at once at each voter and merged by its own ballots, so the
 *       pages of a transfer need not be of one moment.
 *   <li>If this process ends during a join, its instance id and its claim are on its disk, and that
 *       it completed the transfer is not. It makes the same claim again, drops what it copied, and
 *       copies anew: an acknowledger may have lost its disk meanwhile, so nothing that was copied
 *       earlier is relied on.
 *   <li>An acknowledger that doesn't vote any more, or responds as another instance, makes the join
 *       start over.
 * </ul>
 *
 * <p>{@link JoinQuorum} says when a voter that was replaced stands in for its successor.
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

  /** The attempt under way, waiting for its retry included; null if this replica isn't joining. */
  private JoinAttempt attempt;

  private long backoffMs = INITIAL_BACKOFF_MS;

  ReplicaJoin(JoinContext context) {
    this.context = context;
    membership = context.membership();
    random = new SplittableRandom(membership.instanceId());
  }

  /**
   * Continues a claim of this instance, or claims the slot of an earlier instance of this host;
   * ends the attempt under way if neither is called for.
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
    // This instance's records may be the only ones of the slot that it left, until its successor
    // there votes.
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

  /** Asks a voter whether it votes under this voter set; no response counts as no. */
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

  /** Replaces the attempt under way, if any, by one for this slot and epoch. */
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

  /** Whether this is the attempt under way. */
  boolean isCurrent(JoinAttempt candidate) {
    return attempt == candidate;
  }

  /** Lets the attempt under way retry after a random backoff, which grows. */
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

  /** Ends the attempt under way in favour of a rival of the same epoch. */
  void yieldTo(int slot, Voter rival) {
    attempt = null;
    membership.yieldTo(slot, rival);
    context.replica().onVoterSetChanged();
    onMembershipChanged();
  }

  /** Ends the attempt under way, as the state transfer is complete: the replica votes. */
  void complete(int epoch) {
    backoffMs = INITIAL_BACKOFF_MS;
    attempt = null;
    context.replica().onTransferCompleted(epoch);
  }
}
