package elmsail.register;

import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;

/** Seatings compared and merged: in each seat the higher incarnation is right, the first of two equals. */
public final class SeatingRules {
  private SeatingRules() {
  }

  /** How many votes decide. */
  public static int majority(int seats) {
    return seats / 2 + 1;
  }

  /** How many seats are in every majority's way: each majority has at least one of them. */
  public static int blocking(int seats) {
    return seats - majority(seats) + 1;
  }

  /** Whether {@code one} has a higher incarnation in some seat, or seats where the other has none. */
  public static boolean newer(Seating one, Seating other) {
    if (one.seats.size() != other.seats.size()) {
      return other.seats.isEmpty();
    }
    for (int i = 0; i < one.seats.size(); i++) {
      if (one.seats.get(i).incarnation > other.seats.get(i).incarnation) {
        return true;
      }
    }
    return false;
  }

  /** Whether both tell the same of every seat, its holder included. */
  public static boolean same(Seating one, Seating other) {
    if (one.seats.size() != other.seats.size()) {
      return false;
    }
    for (int i = 0; i < one.seats.size(); i++) {
      if (!same(one.seats.get(i), other.seats.get(i))) {
        return false;
      }
    }
    return true;
  }

  public static boolean same(Seat one, Seat other) {
    return one.incarnation == other.incarnation && one.life == other.life
        && one.address.equals(other.address) && one.station.equals(other.station);
  }

  /** {@code known}, itself if nothing in {@code told} is newer; a set's count of seats never changes. */
  public static Seating merge(Seating known, Seating told) {
    if (!newer(told, known)) {
      return known;
    }
    if (known.seats.isEmpty()) {
      return told;
    }
    Seating merged = new Seating();
    for (int i = 0; i < known.seats.size(); i++) {
      Seat ours = known.seats.get(i);
      Seat theirs = told.seats.get(i);
      merged.seats.add(theirs.incarnation > ours.incarnation ? theirs : ours);
    }
    return merged;
  }

  /**
   * Whether the seat's votes count: a life that is told of in two seats has only the first, else one process
   * would vote twice.
   */
  static boolean counts(Seating seating, int seat) {
    return ofLife(seating, seating.seats.get(seat).life) == seat;
  }

  /** How many seats' votes don't count. */
  static int vacant(Seating seating) {
    int vacant = 0;
    for (int i = 0; i < seating.seats.size(); i++) {
      vacant += counts(seating, i) ? 0 : 1;
    }
    return vacant;
  }

  /** {@code known} with another holder in one seat. */
  static Seating with(Seating known, int seat, Seat holder) {
    Seating changed = new Seating();
    changed.seats.addAll(known.seats);
    changed.seats.set(seat, holder);
    return changed;
  }

  /** The seat that this life holds or has claimed, or -1. */
  static int ofLife(Seating seating, long life) {
    for (int i = 0; i < seating.seats.size(); i++) {
      if (seating.seats.get(i).life == life) {
        return i;
      }
    }
    return -1;
  }

  /** The seat that is held at this address or by this station, or -1. */
  static int ofPlace(Seating seating, String address, String station) {
    for (int i = 0; i < seating.seats.size(); i++) {
      Seat seat = seating.seats.get(i);
      if (seat.address.equals(address) || !station.isEmpty() && seat.station.equals(station)) {
        return i;
      }
    }
    return -1;
  }
}
