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
  private static final long CLAIM_CALL_MS = 1_000;
  private static final long FIRST_WAIT_MS = 200;
  private static final long MOST_WAIT_MS = 1_000;

  private final String set;
  private final Replica replica;
  private final Membership membership;
  private final RecordStore records;
  private final RpcClient caller;
  private final Timers timers;
  private final RecordNames names;
  private final SplittableRandom chance;
  private Round round;
  private long waitMs = FIRST_WAIT_MS;

  ReplicaJoin(
      String set,
      Replica replica,
      Membership membership,
      RecordStore records,
      RpcClient caller,
      Timers timers) {
    this.set = set;
    this.replica = replica;
    this.membership = membership;
    this.records = records;
    this.caller = caller;
    this.timers = timers;
    names = new RecordNames(set);
    chance = new SplittableRandom(membership.instanceId());
  }

  /**
   * Goes on with a claim of this instance, or claims the voter slot of an earlier instance of this
   * place.
   */
  void consider() {
    int own = membership.ownSlot();
    if (membership.voting()) {
      round = null;
    } else if (own >= 0) {
      int epoch = membership.voterSet().voters.get(own).epoch;
      if (round == null || round.slot != own || round.holder.epoch != epoch) {
        begin(own, epoch);
      }
    } else {
      round = null;
      int lost = membership.lostSlot();
      if (lost >= 0) {
        membership.spare(false);
        begin(lost, membership.voterSet().voters.get(lost).epoch + 1);
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
    int replaced = membership.replacedSlot();
    if (replaced < 0 || replaced == slot) {
      membership.spare(true);
      begin(slot, epoch);
      return;
    }
    // Its records may be the only ones of the voter slot it left, until its successor votes there.
    whenVotes(
        known.voters.get(replaced),
        known,
        votes -> {
          if (votes
              && membership.ownSlot() < 0
              && membership.replacedSlot() == replaced
              && epoch > membership.voterSet().voters.get(slot).epoch) {
            membership.spare(true);
            begin(slot, epoch);
          }
        });
  }

  /** Tells whether that holder answers as one that votes under that voter set. */
  private void whenVotes(Voter holder, VoterSet under, Consumer<Boolean> then) {
    ReadRequest request = new ReadRequest();
    request.set = set;
    request.voterSet = under;
    request.ballotOnly = true;
    caller
        .call(holder.address, request, VoteResponse.class, CLAIM_CALL_MS)
        .whenComplete(
            (response, failure) ->
                then.accept(response != null && response.code == VoteResponse.OK));
  }

  private void begin(int slot, int epoch) {
    LOG.info("{}: joins slot {}, epoch {}", set, slot, epoch);
    Round next = new Round(slot, membership.take(slot, epoch));
    round = next;
    replica
        .voterSetChanged()
        .whenComplete(
            (none, failure) -> {
              if (failure == null) {
                next.request();
              } else {
                later(next);
              }
            });
  }

  /** Starts over after a while, with the same claim or as what was heard meanwhile demands. */
  private void later(Round from) {
    if (round != from) {
      return;
    }
    long wait = waitMs / 2 + chance.nextLong(waitMs / 2 + 1);
    waitMs = Math.min(MOST_WAIT_MS, waitMs * 2);
    timers.schedule(
        wait,
        () -> {
          if (round == from) {
            from.again();
          }
        });
  }

  /** One try at one claim. */
  private final class Round {
    private final int slot;
    private final Voter holder;
    private JoinQuorum answers;
    private Voter rival;
    private final Map<Integer, Long> voting = new HashMap<>();
    private boolean settled;

    Round(int slot, Voter holder) {
      this.slot = slot;
      this.holder = holder;
    }

    void request() {
      if (round != this) {
        return;
      }
      VoterSet known = membership.voterSet();
      answers = new JoinQuorum(known, slot, membership.instanceId());
      JoinRequest request = new JoinRequest();
      request.set = set;
      request.slot = slot;
      request.voter = holder;
      for (int i = 0; i < known.voters.size(); i++) {
        int other = i;
        Voter one = known.voters.get(i);
        if (answers.asks(i)) {
          caller
              .call(one.address, request, JoinResponse.class, CLAIM_CALL_MS)
              .whenComplete((response, failure) -> answered(other, false, response));
        }
        if (answers.asksBefore(i)) {
          caller
              .call(one.previousAddress, request, JoinResponse.class, CLAIM_CALL_MS)
              .whenComplete((response, failure) -> answered(other, true, response));
        }
      }
      if (answers.hopeless()) {
        later(this); // The only voter slot: there is nobody to have it from.
      }
    }

    private void answered(int other, boolean before, JoinResponse response) {
      if (round != this) {
        return;
      }
      if (!settled) {
        if (before) {
          answers.toldBefore(other, response);
        } else {
          answers.response(other, response);
        }
      }
      // Also what comes once the claim is hopeless: the first answer may be a failure.
      if (response != null && !before && response.voting) {
        voting.put(other, response.instanceId);
      }
      if (response != null
          && response.voterSet.voters.size() == membership.voterSet().voters.size()) {
        Voter theirs = response.voterSet.voters.get(slot);
        if (theirs.epoch == holder.epoch && theirs.instanceId != holder.instanceId) {
          rival = theirs;
        }
        replica.learn(response.voterSet);
      }
      if (round == this && !settled) {
        settle();
      }
    }

    private void settle() {
      List<Voter> sources = answers.sources();
      if (sources != null) {
        copy(sources);
      } else if (answers.hopeless()) {
        settled = true;
        if (rival != null && membership.spare()) {
          giveWay();
        } else {
          later(this);
        }
      }
    }

    /** Leaves the slot to the rival; another that this place held is claimed instead. */
    private void giveWay() {
      round = null;
      membership.yield(slot, rival);
      replica.voterSetChanged();
      consider();
    }

    /**
     * After a claim in vain. A rival that votes keeps the slot. It is outbid only where enough
     * others vote for this claim to be completed: a claim that is known and can't be completed
     * would take the rival's vote from the set, and give none.
     */
    private void again() {
      if (rival == null) {
        begin(slot, holder.epoch);
      } else if (membership.spare() || membership.placeHoldsOther(slot)) {
        giveWay();
      } else if (othersVoting() >= VoterSets.blocking(membership.voterSet().voters.size())) {
        begin(slot, holder.epoch + 1);
      } else {
        VoterSet theirs = VoterSets.with(membership.voterSet(), slot, rival);
        whenVotes(rival, theirs, this::rivalAnswered);
      }
    }

    private void rivalAnswered(boolean votes) {
      if (round == this && votes) {
        giveWay();
      } else if (round == this) {
        begin(slot, holder.epoch);
      }
    }

    /** How many answered as voting whom the newest voter set names as holders. */
    private int othersVoting() {
      int count = 0;
      for (Map.Entry<Integer, Long> one : voting.entrySet()) {
        Voter holder = membership.voterSet().voters.get(one.getKey());
        count += holder.instanceId == one.getValue() ? 1 : 0;
      }
      return count;
    }

    private void copy(List<Voter> sources) {
      settled = true;
      replica.forget();
      new StateTransfer(
              set,
              names,
              replica,
              records,
              caller,
              timers,
              sources,
              answers.replaced(),
              () -> round == this,
              this::copied)
          .start();
    }

    private void copied(boolean whole) {
      if (round != this) {
        return;
      }
      if (whole) {
        waitMs = FIRST_WAIT_MS;
        round = null;
        replica.caughtUp(holder.epoch);
      } else {
        later(this);
      }
    }
  }
}
