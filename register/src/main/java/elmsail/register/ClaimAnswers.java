package elmsail.register;

import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import java.util.ArrayList;
import java.util.List;

/**
 * What the holders answered to one claim, and whom to copy from: N - q + 1 seated ones, or one less and a
 * replaced one whose successor isn't seated; {@link Newcomer} says why that is safe. Without time or network.
 */
final class ClaimAnswers {
  private final Seating asked;
  private final int need;
  /** As told by seated ones that hold the claim. */
  private final Seating[] acknowledged;
  /** Seats whose holder isn't seated, and has the claim on its disk. */
  private final boolean[] noted;
  /** Seats whose replaced holder has the claim on its disk, and its records. */
  private final boolean[] kept;
  private final boolean[] open;
  private final boolean[] openBefore;
  private Seat replaced;

  /** @param asked as known when the claim is sent */
  ClaimAnswers(Seating asked, int seat, long ownLife) {
    this.asked = asked;
    int seats = asked.seats.size();
    need = SeatingRules.blocking(seats);
    acknowledged = new Seating[seats];
    noted = new boolean[seats];
    kept = new boolean[seats];
    open = new boolean[seats];
    openBefore = new boolean[seats];
    for (int i = 0; i < seats; i++) {
      Seat one = asked.seats.get(i);
      open[i] = i != seat && SeatingRules.counts(asked, i);
      openBefore[i] = open[i] && one.beforeLife != 0 && one.beforeLife != ownLife
          && !one.beforeAddress.equals(one.address);
    }
  }

  /** Whether the seat's holder is to be asked, and hasn't answered. */
  boolean asks(int seat) {
    return open[seat];
  }

  /** Whether the one before the seat's holder is to be asked, and hasn't answered. */
  boolean asksBefore(int seat) {
    return openBefore[seat];
  }

  /** @param told by the seat's holder; null: it didn't answer */
  void told(int seat, ClaimTold told) {
    open[seat] = false;
    if (told == null || told.seating.seats.size() != asked.seats.size()) {
      return;
    }
    Seat there = told.seating.seats.get(seat);
    if (told.held) {
      acknowledged[seat] = told.seating;
    } else {
      noted[seat] = told.noted && told.life == there.life && SeatingRules.same(there, asked.seats.get(seat));
    }
  }

  /** @param told by the one before; null: it didn't answer */
  void toldBefore(int seat, ClaimTold told) {
    openBefore[seat] = false;
    Seat holder = asked.seats.get(seat);
    if (told == null || told.seating.seats.size() != asked.seats.size() || told.life != holder.beforeLife) {
      return;
    }
    Seat there = told.seating.seats.get(seat);
    boolean seated = told.held && there.life == holder.beforeLife
        && there.incarnation == holder.beforeIncarnation;
    kept[seat] = seated || told.noted && told.replaced && SeatingRules.same(there, holder);
  }

  /** Null as long as too few acknowledged. */
  List<Seat> sources() {
    List<Seat> sources = new ArrayList<>();
    for (int i = 0; i < acknowledged.length; i++) {
      if (acknowledged[i] != null) {
        sources.add(acknowledged[i].seats.get(i));
      }
    }
    for (int i = 0; i < acknowledged.length && sources.size() == need - 1; i++) {
      if (noted[i] && kept[i] && agreed(i)) {
        Seat holder = asked.seats.get(i);
        Seat before = new Seat();
        before.address = holder.beforeAddress;
        before.life = holder.beforeLife;
        before.incarnation = holder.beforeIncarnation;
        sources.add(before);
        replaced = before;
      }
    }
    return sources.size() >= need ? sources : null;
  }

  /** Which of the {@link #sources()} is a replaced holder, or null; the others must be seated still. */
  Seat replaced() {
    return replaced;
  }

  /** Whether the answers that are still open can't be enough. */
  boolean hopeless() {
    int possible = 0;
    boolean pair = false;
    boolean anyOpen = false;
    for (int i = 0; i < open.length; i++) {
      anyOpen |= open[i] || openBefore[i];
      if (open[i] || acknowledged[i] != null) {
        possible++;
      } else if (noted[i] && (openBefore[i] || kept[i])) {
        pair = true;
      }
    }
    return !anyOpen || possible + (pair ? 1 : 0) < need;
  }

  /** Whether all who acknowledged know just that claim of the seat. */
  private boolean agreed(int seat) {
    for (Seating known : acknowledged) {
      if (known != null && !SeatingRules.same(known.seats.get(seat), asked.seats.get(seat))) {
        return false;
      }
    }
    return true;
  }
}
