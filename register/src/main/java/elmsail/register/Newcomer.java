package elmsail.register;

import elmsail.disk.Records;
import elmsail.inner.Caller;
import elmsail.inner.words.ClaimAsk;
import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.ReadAsk;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.inner.words.VoteTold;
import elmsail.station.Timers;
import java.util.List;
import java.util.SplittableRandom;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How a life that holds no seat comes to vote: it claims one, and copies all records from those who
 * acknowledged.
 *
 * <p>Let N be the seats and q the majority. A claim raises the incarnation of its seat, and needs
 * acknowledgements from N - q + 1 other holders ("the acknowledgers"), each seated and each with the new
 * seating on its disk. Why what was decided is kept:
 * <ul>
 * <li>An asker sends the accepts of a ballot under the seating under which that ballot was promised, and a
 * voter votes only under just the seating that it knows; so a decision's votes, and the promises before it,
 * were all made under one seating.
 * <li>After its acknowledgement a holder refuses all older seatings. The rest is q - 1 seats, the old life's
 * included: nothing can be decided or promised by a majority under an older seating any more. What was, was
 * by a majority of which at least one other seat acknowledged, and voted before that; a copy begun after
 * the acknowledgement has that accept, or a later one, and that promise, or a higher one. So has this seat
 * once it took the highest of both.
 * <li>An accept in flight when the claim is acknowledged is refused where it arrives later, and its asker
 * starts over with a new promise under the new seating.
 * <li>A value that just one holder accepted may be copied. It was a proposal with a majority's promise, so
 * having it is as harmless as having accepted it; but it isn't a vote: the record says so
 * ({@code copied}), and such a record doesn't count towards a majority that took it, as the promises which
 * the lost life made to others may have been known to it alone.
 * <li>While the copying goes on this seat votes on nothing, so whatever is decided then has its majority
 * among the others; this seat is then as one that has missed some messages. A key's state is one record,
 * taken at once at each holder, and is merged by its own ballots; pages needn't be of one moment.
 * <li>If this process ends in the middle, its life and its claim are on its disk, and that it has caught up
 * is not. It claims the same again, forgets what it copied, and copies anew: an acknowledger may have lost
 * its memory meanwhile, so that nothing copied earlier is relied on.
 * <li>An acknowledger that is no longer seated, or answers with another life, makes it start over.
 * </ul>
 *
 * <p>A seat whose new holder isn't seated yet would otherwise be in the way of a second newcomer for good, if
 * that one's seat was lost too: each would wait for the other. In the place of one seated holder, a claim is
 * therefore also acknowledged by one such seat's two lives together: its new holder S, and the one R that was
 * seated there right before; and R is copied from. Why that is as good, let k be the incarnation of R and
 * k + 1 that of S:
 * <ul>
 * <li>S answers that it isn't seated, and has the claim on its disk: S has cast no vote in this seat, and
 * will cast none under a seating without the claim.
 * <li>R answers that it was seated under k, is seated no more (or is, and acknowledges as such), and has the
 * claim on its disk. It voted only under k, votes under no seating that has S, and its records are all that
 * those votes made: they are dropped only behind its own claim of a seat, which is on its disk first and ends
 * what it answers here; and it claims another seat only once S told that it votes. If R doesn't know of S
 * yet, its later votes are under seatings with this claim, so they needn't be copied; the copying makes it
 * learn of S.
 * <li>Nobody else voted in the seat, nor will: there is no incarnation between k and k + 1; of two lives that
 * claim k only one can be seated, and R was. A rival of S in k + 1, or whoever claims a later one, that was
 * seated or will be without knowing this claim had acknowledgements from N - q + 1 seats. So did this claim:
 * N - q of these are seated holders in the N - 2 seats besides both, where the other has N - q at least, and
 * 2 (N - q) is more than N - 2. One of them thus knew both; it told this newcomer only of S, which it knew to
 * hold the seat, and never goes back: so it can't have known the rival first, and acknowledges none later but
 * telling this claim along with it.
 * <li>Only the one that was counted so is copied from though it is replaced. Any other source must be seated
 * under what this newcomer learnt from all answers: one that acknowledged without knowing of its successor,
 * which votes, doesn't count.
 * <li>For that overlap only one seat may be acknowledged so, and all who are seated must have told of just S.
 * <li>What S copies later from this newcomer has all that was decided, as from any that is seated.
 * </ul>
 * If S is gone for good, this doesn't help: that it didn't vote is known to it alone.
 */
final class Newcomer {
  private static final Logger LOG = LoggerFactory.getLogger(Newcomer.class);
  private static final long CLAIM_CALL_MS = 1_000;
  private static final long FIRST_WAIT_MS = 200;
  private static final long MOST_WAIT_MS = 1_000;

  private final String set;
  private final SetKeeper keeper;
  private final Membership membership;
  private final Records records;
  private final Caller caller;
  private final Timers timers;
  private final KeptNames names;
  private final SplittableRandom chance;
  private Round round;
  private long waitMs = FIRST_WAIT_MS;

  Newcomer(String set, SetKeeper keeper, Membership membership, Records records, Caller caller,
      Timers timers) {
    this.set = set;
    this.keeper = keeper;
    this.membership = membership;
    this.records = records;
    this.caller = caller;
    this.timers = timers;
    names = new KeptNames(set);
    chance = new SplittableRandom(membership.life());
  }

  /** Goes on with a claim of this life, or claims the seat of an earlier life of this place. */
  void consider() {
    int own = membership.ownSeat();
    if (membership.seated()) {
      round = null;
    } else if (own >= 0) {
      int incarnation = membership.seating().seats.get(own).incarnation;
      if (round == null || round.seat != own || round.holder.incarnation != incarnation) {
        begin(own, incarnation);
      }
    } else {
      round = null;
      int lost = membership.lostSeat();
      if (lost >= 0) {
        membership.spare(false);
        begin(lost, membership.seating().seats.get(lost).incarnation + 1);
      }
    }
  }

  /** Takes the seat of another life. */
  void claim(int seat, int incarnation) {
    Seating known = membership.seating();
    if (membership.ownSeat() >= 0 || seat < 0 || seat >= known.seats.size()
        || incarnation <= known.seats.get(seat).incarnation) {
      return;
    }
    int replaced = membership.replacedSeat();
    if (replaced < 0 || replaced == seat) {
      membership.spare(true);
      begin(seat, incarnation);
      return;
    }
    // Its records may be the only ones of the seat it left, until its successor votes there.
    ReadAsk ask = new ReadAsk();
    ask.set = set;
    ask.seating = known;
    ask.bare = true;
    caller.call(known.seats.get(replaced).address, ask, VoteTold.class, CLAIM_CALL_MS)
        .whenComplete((told, failure) -> {
          if (told != null && told.code == VoteTold.DONE && membership.ownSeat() < 0
              && membership.replacedSeat() == replaced
              && incarnation > membership.seating().seats.get(seat).incarnation) {
            membership.spare(true);
            begin(seat, incarnation);
          }
        });
  }

  private void begin(int seat, int incarnation) {
    LOG.info("{}: claims seat {}, incarnation {}", set, seat, incarnation);
    Round next = new Round(seat, membership.take(seat, incarnation));
    round = next;
    keeper.seatingChanged().whenComplete((none, failure) -> {
      if (failure == null) {
        next.ask();
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
    timers.after(wait, () -> {
      if (round == from) {
        begin(from.seat, from.holder.incarnation + (higher ? 1 : 0));
      }
    });
  }

  /** One try at one claim. */
  private final class Round {
    private final int seat;
    private final Seat holder;
    private ClaimAnswers answers;
    private Seat rival;
    private boolean copying;

    Round(int seat, Seat holder) {
      this.seat = seat;
      this.holder = holder;
    }

    void ask() {
      if (round != this) {
        return;
      }
      Seating known = membership.seating();
      answers = new ClaimAnswers(known, seat, membership.life());
      ClaimAsk ask = new ClaimAsk();
      ask.set = set;
      ask.seat = seat;
      ask.holder = holder;
      for (int i = 0; i < known.seats.size(); i++) {
        int other = i;
        Seat one = known.seats.get(i);
        if (answers.asks(i)) {
          caller.call(one.address, ask, ClaimTold.class, CLAIM_CALL_MS)
              .whenComplete((told, failure) -> answered(other, false, told));
        }
        if (answers.asksBefore(i)) {
          caller.call(one.beforeAddress, ask, ClaimTold.class, CLAIM_CALL_MS)
              .whenComplete((told, failure) -> answered(other, true, told));
        }
      }
      if (answers.hopeless()) {
        // The only seat: there is nobody to have it from.
        later(this, false);
      }
    }

    private void answered(int other, boolean before, ClaimTold told) {
      if (round != this || copying) {
        return;
      }
      if (before) {
        answers.toldBefore(other, told);
      } else {
        answers.told(other, told);
      }
      if (told != null && told.seating.seats.size() == membership.seating().seats.size()) {
        Seat theirs = told.seating.seats.get(seat);
        if (theirs.incarnation == holder.incarnation && theirs.life != holder.life) {
          rival = theirs;
        }
        keeper.learn(told.seating);
        if (round != this) {
          return;
        }
      }
      List<Seat> sources = answers.sources();
      if (sources != null) {
        copy(sources);
      } else if (answers.hopeless()) {
        copying = true;
        if (rival != null && membership.spare()) {
          round = null;
          membership.yield(seat, rival);
          keeper.seatingChanged();
        } else {
          later(this, rival != null);
        }
      }
    }

    private void copy(List<Seat> sources) {
      copying = true;
      keeper.forget();
      new Copying(set, names, keeper, records, caller, timers, sources, answers.replaced(),
          () -> round == this, this::copied).start();
    }

    private void copied(boolean whole) {
      if (round != this) {
        return;
      }
      if (whole) {
        waitMs = FIRST_WAIT_MS;
        round = null;
        keeper.caughtUp(holder.incarnation);
      } else {
        later(this, false);
      }
    }
  }
}
