package elmsail.register;

import elmsail.inner.words.ClaimAsk;
import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.inner.words.VoteTold;

/**
 * What one process knows of a set's seats, and whether it votes: decisions only, without time, network or
 * disk. Whatever is adopted here must be on disk before any answer that relies on it leaves.
 */
final class Membership {
  private final String address;
  private final String station;
  private final long life;
  private Seating seating;
  /** The incarnation with which this life was founded, or has copied all that it had to; 0: none. */
  private int caughtUp;
  private boolean spare;

  Membership(String address, String station, long life, Seating seating, int caughtUp) {
    this.address = address;
    this.station = station;
    this.life = life;
    this.seating = seating;
    this.caughtUp = caughtUp;
  }

  Seating seating() {
    return seating;
  }

  long life() {
    return life;
  }

  /** Votes: its own life holds a seat, and has caught up under just that incarnation. */
  boolean seated() {
    int seat = ownSeat();
    return seat >= 0 && caughtUp > 0 && seating.seats.get(seat).incarnation == caughtUp;
  }

  /** The seat that this life holds or is claiming, or -1. */
  int ownSeat() {
    return SeatingRules.ofLife(seating, life);
  }

  int caughtUp() {
    return caughtUp;
  }

  void caughtUp(int incarnation) {
    caughtUp = incarnation;
  }

  /** Whether the claim under way is of another's seat: it leaves that to a rival of the same incarnation. */
  boolean spare() {
    return spare;
  }

  void spare(boolean is) {
    spare = is;
  }

  /** The seat whose present holder names this life, which was seated there, as the one before; or -1. */
  int replacedSeat() {
    if (caughtUp == 0 || ownSeat() >= 0) {
      return -1;
    }
    for (int i = 0; i < seating.seats.size(); i++) {
      Seat seat = seating.seats.get(i);
      if (seat.beforeLife == life && seat.beforeIncarnation == caughtUp) {
        return i;
      }
    }
    return -1;
  }

  /** Has whole records of votes that count, but casts none any more. */
  boolean replaced() {
    return replacedSeat() >= 0;
  }

  /** True if something was newer: it is to be written. */
  boolean learn(Seating told) {
    Seating merged = SeatingRules.merge(seating, told);
    boolean changed = merged != seating;
    seating = merged;
    return changed;
  }

  /** Whether this life sits by the founding: never voted, so nothing to catch up with. */
  boolean founded() {
    int seat = ownSeat();
    return seat >= 0 && seating.seats.get(seat).incarnation == 1 && caughtUp == 0;
  }

  /** VoteTold.DONE if an ask under that seating, which was learnt before, may be voted on. */
  int vote(Seating asked) {
    if (SeatingRules.newer(seating, asked) || asked.seats.size() != seating.seats.size()) {
      return VoteTold.OLD_SEATING;
    }
    return seated() ? VoteTold.DONE : VoteTold.NOT_SEATED;
  }

  /** What becomes of another's claim. */
  enum Claimed {
    /** Adopted: acknowledged once it is written. */
    ADOPTED,
    /** The very same claim is known already. */
    KNOWN,
    /** Known here from now on, but this life isn't seated: see {@link Newcomer}. */
    NOTED,
    /** Outbid, or this one is in no position to acknowledge. */
    REFUSED
  }

  /** To be told, with the seating, once what it changed here is on disk. */
  ClaimTold answer(ClaimAsk ask) {
    Claimed claimed = claim(ask);
    ClaimTold told = new ClaimTold();
    told.life = life;
    told.held = claimed == Claimed.ADOPTED || claimed == Claimed.KNOWN;
    told.noted = claimed == Claimed.NOTED;
    told.replaced = told.noted && replaced();
    return told;
  }

  /** Whether a newcomer may copy from here, where a vote is answered so; a replaced holder may do. */
  boolean serves(int code, boolean ofReplaced) {
    return code == VoteTold.DONE || code == VoteTold.NOT_SEATED && ofReplaced && replaced();
  }

  /**
   * A claim counts only from a seated holder, whose records are whole, and only above the incarnation known:
   * of two claims of one incarnation just one can be acknowledged by enough.
   */
  Claimed claim(ClaimAsk ask) {
    boolean votes = seated();
    boolean claiming = !votes && ownSeat() >= 0;
    if (ask.seat < 0 || ask.seat >= seating.seats.size() || claiming && ask.seat == ownSeat()
        || !votes && !claiming && !replaced()) {
      return Claimed.REFUSED;
    }
    Seat known = seating.seats.get(ask.seat);
    if (SeatingRules.same(known, ask.holder)) {
      return ask.holder.life == life ? Claimed.REFUSED : votes ? Claimed.KNOWN : Claimed.NOTED;
    }
    int other = SeatingRules.ofLife(seating, ask.holder.life);
    if (ask.holder.incarnation <= known.incarnation || other >= 0 && other != ask.seat) {
      return Claimed.REFUSED;
    }
    boolean own = ask.seat == ownSeat();
    seating = SeatingRules.with(seating, ask.seat, ask.holder);
    return own ? Claimed.REFUSED : votes ? Claimed.ADOPTED : Claimed.NOTED;
  }

  /** This life's own claim of a seat: taken over here first, and not voting. */
  Seat take(int seat, int incarnation) {
    Seat holder = new Seat();
    holder.address = address;
    holder.station = station;
    holder.life = life;
    holder.incarnation = incarnation;
    Seat known = seating.seats.get(seat);
    if (known.life == life && known.incarnation == incarnation) {
      holder.beforeAddress = known.beforeAddress;
      holder.beforeLife = known.beforeLife;
      holder.beforeIncarnation = known.beforeIncarnation;
    } else if (known.life != life && known.incarnation == incarnation - 1) {
      holder.beforeAddress = known.address;
      holder.beforeLife = known.life;
      holder.beforeIncarnation = known.incarnation;
    }
    seating = SeatingRules.with(seating, seat, holder);
    caughtUp = 0;
    return holder;
  }

  /** Gives up a claim for another's of the same incarnation. */
  void yield(int seat, Seat rival) {
    seating = SeatingRules.with(seating, seat, rival);
    spare = false;
  }

  /** A seat of this place that another life of it held, or -1. */
  int lostSeat() {
    return ownSeat() >= 0 ? -1 : SeatingRules.ofPlace(seating, address, station);
  }
}
