package elmsail.register;

import elmsail.disk.Records;
import elmsail.inner.Caller;
import elmsail.inner.words.ClaimAsk;
import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.station.Timers;
import java.util.ArrayList;
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
        begin(lost, membership.seating().seats.get(lost).incarnation + 1);
      }
    }
  }

  /** Takes the seat of another life. */
  void claim(int seat, int incarnation) {
    Seating known = membership.seating();
    if (membership.ownSeat() < 0 && seat >= 0 && seat < known.seats.size()
        && incarnation > known.seats.get(seat).incarnation) {
      begin(seat, incarnation);
    }
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
    private final List<Seat> acknowledgers = new ArrayList<>();
    private int waiting;
    private boolean outbid;
    private boolean copying;

    Round(int seat, Seat holder) {
      this.seat = seat;
      this.holder = holder;
    }

    void ask() {
      if (round != this) {
        return;
      }
      List<Seat> seats = membership.seating().seats;
      Seating known = membership.seating();
      waiting = seats.size() - 1 - SeatingRules.vacant(known);
      for (int i = 0; i < seats.size(); i++) {
        if (i == seat || !SeatingRules.counts(known, i)) {
          continue;
        }
        ClaimAsk ask = new ClaimAsk();
        ask.set = set;
        ask.seat = seat;
        ask.holder = holder;
        int other = i;
        caller.call(seats.get(i).address, ask, ClaimTold.class, CLAIM_CALL_MS)
            .whenComplete((told, failure) -> answered(other, told));
      }
      if (waiting <= 0) {
        // The only seat: there is nobody to have it from.
        later(this, false);
      }
    }

    private void answered(int other, ClaimTold told) {
      if (round != this || copying) {
        return;
      }
      waiting--;
      if (told != null && told.seating.seats.size() == membership.seating().seats.size()) {
        Seat theirs = told.seating.seats.get(seat);
        outbid |= theirs.incarnation == holder.incarnation && theirs.life != holder.life;
        keeper.learn(told.seating);
        if (round != this) {
          return;
        }
        if (told.held) {
          acknowledgers.add(told.seating.seats.get(other));
        }
      }
      int need = SeatingRules.blocking(membership.seating().seats.size());
      if (acknowledgers.size() >= need) {
        copy();
      } else if (acknowledgers.size() + waiting < need) {
        copying = true;
        later(this, outbid);
      }
    }

    private void copy() {
      copying = true;
      keeper.forget();
      new Copying(set, names, keeper, records, caller, timers, acknowledgers, () -> round == this, whole -> {
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
      }).start();
    }
  }
}
