package elmsail.register;

import elmsail.inner.words.ClaimAsk;
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
    /** Outbid, or this one is in no position to acknowledge. */
    REFUSED
  }

  /**
   * A claim counts only from a seated holder, whose records are whole, and only above the incarnation known:
   * of two claims of one incarnation just one can be acknowledged by enough.
   */
  Claimed claim(ClaimAsk ask) {
    if (!seated() || ask.seat < 0 || ask.seat >= seating.seats.size()) {
      return Claimed.REFUSED;
    }
    Seat known = seating.seats.get(ask.seat);
    if (SeatingRules.same(known, ask.holder)) {
      return ask.holder.life == life ? Claimed.REFUSED : Claimed.KNOWN;
    }
    int other = SeatingRules.ofLife(seating, ask.holder.life);
    if (ask.holder.incarnation <= known.incarnation || other >= 0 && other != ask.seat) {
      return Claimed.REFUSED;
    }
    boolean own = ask.seat == ownSeat();
    seating = SeatingRules.with(seating, ask.seat, ask.holder);
    return own ? Claimed.REFUSED : Claimed.ADOPTED;
  }

  /** This life's own claim of a seat: taken over here first, and not voting. */
  Seat take(int seat, int incarnation) {
    Seat holder = new Seat();
    holder.address = address;
    holder.station = station;
    holder.life = life;
    holder.incarnation = incarnation;
    seating = SeatingRules.with(seating, seat, holder);
    caughtUp = 0;
    return holder;
  }

  /** Gives up a claim for another's of the same incarnation. */
  void yield(int seat, Seat rival) {
    seating = SeatingRules.with(seating, seat, rival);
  }

  /** A seat of this place that another life of it held, or -1. */
  int lostSeat() {
    return ownSeat() >= 0 ? -1 : SeatingRules.ofPlace(seating, address, station);
  }
}
