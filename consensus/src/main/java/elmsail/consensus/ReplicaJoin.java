package elmsail.consensus;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.ReadRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How an instance without a voter slot comes to vote: it claims one, and copies from who consented.
 *
 * <p>Let N be the voter slots and q the majority. A claim raises the epoch of its voter slot, and
 * needs acknowledgements from N - q + 1 other holders ("the acknowledgers"), each voting and each
 * with the new voter set on its disk. Why what was decided is kept:
 *
 * <ul>
 *   <li>An asker sends the accepts of a ballot under the voter set under which that ballot was
 *       promised, and a voter votes only under just the voter set that it knows; so a decision's
 *       votes, and the promises before it, were all made under one voter set.
 *   <li>After its acknowledgement a holder refuses all older voter sets. The rest is q - 1 voter
 *       slots, the old instance's included: nothing can be decided or promised by a majority under
 *       an older voter set any more. What was, was by a majority of which at least one other voter
 *       slot acknowledged, and voted before that; a copy begun after the acknowledgement has that
 *       accept, or a later one, and that promise, or a higher one. So has this voter slot once it
 *       took the highest of both.
 *   <li>An accept in flight when the claim is acknowledged is refused where it arrives later, and
 *       its asker starts over with a new promise under the new voter set.
 *   <li>A value that just one holder accepted may be copied. It was a proposal with a majority's
 *       promise, so having it is as harmless as having accepted it; but it isn't a vote: the record
 *       says so ({@code copied}), and such a record doesn't count towards a majority that took it,
 *       as the promises which the lost instance made to others may have been known to it alone.
 *   <li>While the copying goes on this voter slot votes on nothing, so whatever is decided then has
 *       its majority among the others; this voter slot is then as one that has missed some
 *       messages. A key's state is one record, taken at once at each holder, and is merged by its
 *       own ballots; pages needn't be of one moment.
 *   <li>If this process ends in the middle, its instance and its claim are on its disk, and that it
 *       has caught up is not. It claims the same again, forgets what it copied, and copies anew: an
 *       acknowledger may have lost its memory meanwhile, so that nothing copied earlier is relied
 *       on.
 *   <li>An acknowledger that is no longer voting, or answers with another instance, makes it start
 *       over.
 * </ul>
 *
 * <p>{@link JoinQuorum} says when a holder that was replaced stands in for its successor.
 */
final class ReplicaJoin {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaJoin.class);
  private static final long CALL_TIMEOUT_MS = 1_000;
  private static final long INITIAL_BACKOFF_MS = 200;
  private static final long MAX_BACKOFF_MS = 1_000;

  private final String set;
  private final Replica replica;
  private final ReplicaMembership membership;
  private final RecordStore records;
  private final RpcClient rpcClient;
  private final Timers timers;
  private final RecordNames names;
  private final SplittableRandom random;
  private Attempt attempt;
  private long backoffMs = INITIAL_BACKOFF_MS;

  ReplicaJoin(
      String set,
      Replica replica,
      ReplicaMembership membership,
      RecordStore records,
      RpcClient rpcClient,
      Timers timers) {
    this.set = set;
    this.replica = replica;
    this.membership = membership;
    this.records = records;
    this.rpcClient = rpcClient;
    this.timers = timers;
    names = new RecordNames(set);
    random = new SplittableRandom(membership.instanceId());
  }

  /**
   * Goes on with a claim of this instance, or claims the voter slot of an earlier instance of this
   * place.
   */
  void onMembershipChanged() {
    int ownSlot = membership.ownSlot();
    if (membership.isVoting()) {
      attempt = null;
    } else if (ownSlot >= 0) {
      int epoch = membership.voterSet().voters.get(ownSlot).epoch;
      if (attempt == null || attempt.slot != ownSlot || attempt.holder.epoch != epoch) {
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

  /** Takes the voter slot of another instance. */
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
      membership.joiningAsSpare(true);
      startAttempt(slot, epoch);
      return;
    }
    // Its records may be the only ones of the voter slot it left, until its successor votes there.
    checkVoting(
        known.voters.get(replacedSlot),
        known,
        votes -> {
          if (votes
              && membership.ownSlot() < 0
              && membership.replacedSlot() == replacedSlot
              && epoch > membership.voterSet().voters.get(slot).epoch) {
            membership.joiningAsSpare(true);
            startAttempt(slot, epoch);
          }
        });
  }

  /** Tells whether that holder answers as one that votes under that voter set. */
  private void checkVoting(Voter holder, VoterSet voterSet, Consumer<Boolean> listener) {
    ReadRequest request = new ReadRequest();
    request.set = set;
    request.voterSet = voterSet;
    request.ballotOnly = true;
    rpcClient
        .call(holder.address, request, VoteResponse.class, CALL_TIMEOUT_MS)
        .whenComplete(
            (response, failure) ->
                listener.accept(response != null && response.code == VoteResponse.OK));
  }

  private void startAttempt(int slot, int epoch) {
    LOG.info("{}: joins slot {}, epoch {}", set, slot, epoch);
    Attempt next = new Attempt(slot, membership.claim(slot, epoch));
    attempt = next;
    replica
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

  /** Starts over after a while, with the same claim or as what was heard meanwhile demands. */
  private void retryAfterBackoff(Attempt from) {
    if (attempt != from) {
      return;
    }
    long delayMs = backoffMs / 2 + random.nextLong(backoffMs / 2 + 1);
    backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
    timers.schedule(
        delayMs,
        () -> {
          if (attempt == from) {
            from.retry();
          }
        });
  }

  /** One try at one claim. */
  private final class Attempt {
    private final int slot;
    private final Voter holder;
    private JoinQuorum quorum;
    private Voter rival;
    private final Map<Integer, Long> votingInstances = new HashMap<>();
    private boolean concluded;

    Attempt(int slot, Voter holder) {
      this.slot = slot;
      this.holder = holder;
    }

    void sendRequests() {
      if (attempt != this) {
        return;
      }
      VoterSet known = membership.voterSet();
      quorum = new JoinQuorum(known, slot, membership.instanceId());
      JoinRequest request = new JoinRequest();
      request.set = set;
      request.slot = slot;
      request.voter = holder;
      for (int i = 0; i < known.voters.size(); i++) {
        int otherSlot = i;
        Voter one = known.voters.get(i);
        if (quorum.awaitsHolder(i)) {
          rpcClient
              .call(one.address, request, JoinResponse.class, CALL_TIMEOUT_MS)
              .whenComplete((response, failure) -> onResponse(otherSlot, false, response));
        }
        if (quorum.awaitsPredecessor(i)) {
          rpcClient
              .call(one.previousAddress, request, JoinResponse.class, CALL_TIMEOUT_MS)
              .whenComplete((response, failure) -> onResponse(otherSlot, true, response));
        }
      }
      if (quorum.isUnattainable()) {
        retryAfterBackoff(this); // The only voter slot: there is nobody to have it from.
      }
    }

    private void onResponse(int otherSlot, boolean fromPredecessor, JoinResponse response) {
      if (attempt != this) {
        return;
      }
      if (!concluded) {
        if (fromPredecessor) {
          quorum.onPredecessorResponse(otherSlot, response);
        } else {
          quorum.onHolderResponse(otherSlot, response);
        }
      }
      // Also what comes once the claim is hopeless: the first answer may be a failure.
      if (response != null && !fromPredecessor && response.voting) {
        votingInstances.put(otherSlot, response.instanceId);
      }
      if (response != null
          && response.voterSet.voters.size() == membership.voterSet().voters.size()) {
        Voter theirs = response.voterSet.voters.get(slot);
        if (theirs.epoch == holder.epoch && theirs.instanceId != holder.instanceId) {
          rival = theirs;
        }
        replica.learn(response.voterSet);
      }
      if (attempt == this && !concluded) {
        concludeIfPossible();
      }
    }

    private void concludeIfPossible() {
      List<Voter> sources = quorum.sources();
      if (sources != null) {
        startTransfer(sources);
      } else if (quorum.isUnattainable()) {
        concluded = true;
        if (rival != null && membership.joiningAsSpare()) {
          yieldToRival();
        } else {
          retryAfterBackoff(this);
        }
      }
    }

    /** Leaves the slot to the rival; another that this place held is claimed instead. */
    private void yieldToRival() {
      attempt = null;
      membership.yieldTo(slot, rival);
      replica.onVoterSetChanged();
      onMembershipChanged();
    }

    /**
     * After a claim in vain. A rival that votes keeps the slot. It is outbid only where enough
     * others vote for this claim to be completed: a claim that is known and can't be completed
     * would take the rival's vote from the set, and give none.
     */
    private void retry() {
      if (rival == null) {
        startAttempt(slot, holder.epoch);
      } else if (membership.joiningAsSpare() || membership.hostHoldsOtherSlot(slot)) {
        yieldToRival();
      } else if (countVotingHolders()
          >= VoterSets.blockingSize(membership.voterSet().voters.size())) {
        startAttempt(slot, holder.epoch + 1);
      } else {
        VoterSet theirs = VoterSets.withVoter(membership.voterSet(), slot, rival);
        checkVoting(rival, theirs, this::onRivalChecked);
      }
    }

    private void onRivalChecked(boolean isVoting) {
      if (attempt == this && isVoting) {
        yieldToRival();
      } else if (attempt == this) {
        startAttempt(slot, holder.epoch);
      }
    }

    /** How many answered as voting whom the newest voter set names as holders. */
    private int countVotingHolders() {
      int count = 0;
      for (Map.Entry<Integer, Long> one : votingInstances.entrySet()) {
        Voter holder = membership.voterSet().voters.get(one.getKey());
        count += holder.instanceId == one.getValue() ? 1 : 0;
      }
      return count;
    }

    private void startTransfer(List<Voter> sources) {
      concluded = true;
      replica.dropAllKeys();
      new StateTransfer(
              set,
              names,
              replica,
              records,
              rpcClient,
              timers,
              sources,
              quorum.replacedSource(),
              () -> attempt == this,
              this::onTransferEnded)
          .start();
    }

    private void onTransferEnded(boolean complete) {
      if (attempt != this) {
        return;
      }
      if (complete) {
        backoffMs = INITIAL_BACKOFF_MS;
        attempt = null;
        replica.onTransferCompleted(holder.epoch);
      } else {
        retryAfterBackoff(this);
      }
    }
  }
}
