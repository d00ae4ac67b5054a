package elmsail.consensus;

import elmsail.rpc.Caller;
import elmsail.rpc.messages.JoinRequest;
import elmsail.rpc.messages.JoinResponse;
import elmsail.rpc.messages.ReadRequest;
import elmsail.rpc.messages.VoteResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import java.util.List;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How a life that holds no voter slot comes to vote: it claims one, and copies all records from
 * those who acknowledged.
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
 *       slots, the old life's included: nothing can be decided or promised by a majority under an
 *       older voter set any more. What was, was by a majority of which at least one other voter
 *       slot acknowledged, and voted before that; a copy begun after the acknowledgement has that
 *       accept, or a later one, and that promise, or a higher one. So has this voter slot once it
 *       took the highest of both.
 *   <li>An accept in flight when the claim is acknowledged is refused where it arrives later, and
 *       its asker starts over with a new promise under the new voter set.
 *   <li>A value that just one holder accepted may be copied. It was a proposal with a majority's
 *       promise, so having it is as harmless as having accepted it; but it isn't a vote: the record
 *       says so ({@code copied}), and such a record doesn't count towards a majority that took it,
 *       as the promises which the lost life made to others may have been known to it alone.
 *   <li>While the copying goes on this voter slot votes on nothing, so whatever is decided then has
 *       its majority among the others; this voter slot is then as one that has missed some
 *       messages. A key's state is one record, taken at once at each holder, and is merged by its
 *       own ballots; pages needn't be of one moment.
 *   <li>If this process ends in the middle, its life and its claim are on its disk, and that it has
 *       caught up is not. It claims the same again, forgets what it copied, and copies anew: an
 *       acknowledger may have lost its memory meanwhile, so that nothing copied earlier is relied
 *       on.
 *   <li>An acknowledger that is no longer voting, or answers with another life, makes it start
 *       over.
 * </ul>
 *
 * <p>A voter slot whose new holder isn't voting yet would otherwise be in the way of a second
 * newcomer for good, if that one's voter slot was lost too: each would wait for the other. In the
 * place of one voting holder, a claim is therefore also acknowledged by one such voter slot's two
 * lives together: its new holder S, and the one R that was voting there right before; and R is
 * copied from. Why that is as good, let k be the epoch of R and k + 1 that of S:
 *
 * <ul>
 *   <li>S answers that it isn't voting, and has the claim on its disk: S has cast no vote in this
 *       voter slot, and will cast none under a voter set without the claim.
 *   <li>R answers that it was voting under k, is voting no more (or is, and acknowledges as such),
 *       and has the claim on its disk. It voted only under k, votes under no voter set that has S,
 *       and its records are all that those votes made: they are dropped only behind its own claim
 *       of a voter slot, which is on its disk first and ends what it answers here; and it claims
 *       another voter slot only once S told that it votes. If R doesn't know of S yet, its later
 *       votes are under voter sets with this claim, so they needn't be copied; the copying makes it
 *       learn of S.
 *   <li>Nobody else voted in the voter slot, nor will: there is no epoch between k and k + 1; of
 *       two lives that claim k only one can be voting, and R was. A rival of S in k + 1, or whoever
 *       claims a later one, that was voting or will be without knowing this claim had
 *       acknowledgements from N - q + 1 voter slots. So did this claim: N - q of these are voting
 *       holders in the N - 2 voter slots besides both, where the other has N - q at least, and 2 (N
 *       - q) is more than N - 2. One of them thus knew both; it told this newcomer only of S, which
 *       it knew to hold the voter slot, and never goes back: so it can't have known the rival
 *       first, and acknowledges none later but telling this claim along with it.
 *   <li>Only the one that was counted so is copied from though it is replaced. Any other source
 *       must be voting under what this newcomer learnt from all answers: one that acknowledged
 *       without knowing of its successor, which votes, doesn't count.
 *   <li>For that overlap only one voter slot may be acknowledged so, and all who are voting must
 *       have told of just S.
 *   <li>What S copies later from this newcomer has all that was decided, as from any that is
 *       voting.
 * </ul>
 *
 * If S is gone for good, this doesn't help: that it didn't vote is known to it alone.
 */
final class ReplicaJoin {
  private static final Logger LOG = LoggerFactory.getLogger(ReplicaJoin.class);
  private static final long CLAIM_CALL_MS = 1_000;
  private static final long FIRST_WAIT_MS = 200;
  private static final long MOST_WAIT_MS = 1_000;

  private final String set;
  private final Replica keeper;
  private final Membership membership;
  private final RecordStore records;
  private final Caller caller;
  private final Timers timers;
  private final RecordNames names;
  private final SplittableRandom chance;
  private Round round;
  private long waitMs = FIRST_WAIT_MS;

  ReplicaJoin(
      String set,
      Replica keeper,
      Membership membership,
      RecordStore records,
      Caller caller,
      Timers timers) {
    this.set = set;
    this.keeper = keeper;
    this.membership = membership;
    this.records = records;
    this.caller = caller;
    this.timers = timers;
    names = new RecordNames(set);
    chance = new SplittableRandom(membership.instanceId());
  }

  /**
   * Goes on with a claim of this life, or claims the voter slot of an earlier life of this place.
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
      int lost = membership.lostSeat();
      if (lost >= 0) {
        membership.spare(false);
        begin(lost, membership.voterSet().voters.get(lost).epoch + 1);
      }
    }
  }

  /** Takes the voter slot of another life. */
  void join(int slot, int epoch) {
    VoterSet known = membership.voterSet();
    if (membership.ownSlot() >= 0
        || slot < 0
        || slot >= known.voters.size()
        || epoch <= known.voters.get(slot).epoch) {
      return;
    }
    int replaced = membership.replacedSeat();
    if (replaced < 0 || replaced == slot) {
      membership.spare(true);
      begin(slot, epoch);
      return;
    }
    // Its records may be the only ones of the voter slot it left, until its successor votes there.
    ReadRequest request = new ReadRequest();
    request.set = set;
    request.voterSet = known;
    request.bare = true;
    caller
        .call(known.voters.get(replaced).address, request, VoteResponse.class, CLAIM_CALL_MS)
        .whenComplete(
            (response, failure) -> {
              if (response != null
                  && response.code == VoteResponse.DONE
                  && membership.ownSlot() < 0
                  && membership.replacedSeat() == replaced
                  && epoch > membership.voterSet().voters.get(slot).epoch) {
                membership.spare(true);
                begin(slot, epoch);
              }
            });
  }

  private void begin(int slot, int epoch) {
    LOG.info("{}: joins slot {}, epoch {}", set, slot, epoch);
    Round next = new Round(slot, membership.take(slot, epoch));
    round = next;
    keeper
        .voterSetChanged()
        .whenComplete(
            (none, failure) -> {
              if (failure == null) {
                next.request();
              } else {
                later(next, false);
              }
            });
  }

  /** Starts over after a while: the same claim, or a higher one if this one can't be won. */
  private void later(Round from, boolean higher) {
    if (round != from) {
      return;
    }
    long wait = waitMs / 2 + chance.nextLong(waitMs / 2 + 1);
    waitMs = Math.min(MOST_WAIT_MS, waitMs * 2);
    timers.after(
        wait,
        () -> {
          if (round == from) {
            begin(from.slot, from.holder.epoch + (higher ? 1 : 0));
          }
        });
  }

  /** One try at one claim. */
  private final class Round {
    private final int slot;
    private final Voter holder;
    private JoinQuorum answers;
    private Voter rival;
    private boolean copying;

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
      request.holder = holder;
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
        // The only voter slot: there is nobody to have it from.
        later(this, false);
      }
    }

    private void answered(int other, boolean before, JoinResponse response) {
      if (round != this || copying) {
        return;
      }
      if (before) {
        answers.toldBefore(other, response);
      } else {
        answers.response(other, response);
      }
      if (response != null
          && response.voterSet.voters.size() == membership.voterSet().voters.size()) {
        Voter theirs = response.voterSet.voters.get(slot);
        if (theirs.epoch == holder.epoch && theirs.instanceId != holder.instanceId) {
          rival = theirs;
        }
        keeper.learn(response.voterSet);
        if (round != this) {
          return;
        }
      }
      List<Voter> sources = answers.sources();
      if (sources != null) {
        copy(sources);
      } else if (answers.hopeless()) {
        copying = true;
        if (rival != null && membership.spare()) {
          round = null;
          membership.yield(slot, rival);
          keeper.voterSetChanged();
        } else {
          later(this, rival != null);
        }
      }
    }

    private void copy(List<Voter> sources) {
      copying = true;
      keeper.forget();
      new StateTransfer(
              set,
              names,
              keeper,
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
        keeper.caughtUp(holder.epoch);
      } else {
        later(this, false);
      }
    }
  }
}
