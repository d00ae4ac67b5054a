package elmsail.notary;

import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides who sits in the vaults' seats, from what was heard: the founding, and which spare takes a seat
 * whose holder is gone or is to be retired. Pure; all times are steady ms.
 */
final class Registrar {
  static final long GONE_MS = 2_500;
  static final long SPARE_MS = 800;

  private static final long FOUND_FEWER_MS = 6_000;
  private static final long ZONES_WAIT_MS = 1_000;
  /** A registrar that did not look for so long was held up itself, and listens anew. */
  private static final long HELD_UP_MS = 700;

  private final int seats;
  private long listening;
  private long lastLook;
  private Order order;
  private int orders;
  private long orderedLife;
  private int orderedFrom;

  /** Which vault is to claim which seat, and as what. */
  record Order(int seat, String address, int incarnation) {
  }

  /** Makes one for so many seats, listening from now on. */
  Registrar(int seats, long now) {
    this.seats = seats;
    this.listening = now;
    this.lastLook = now;
  }

  /** The first seating, or null as long as it is not time; asked only while there is none. */
  Seating founding(Heard heard, long now) {
    List<Heard.Vault> there = new ArrayList<>();
    long first = Long.MAX_VALUE;
    Set<String> zones = new HashSet<>();
    for (Heard.Vault vault : heard.vaults()) {
      if (!vault.seated() && vault.shelf().seats.isEmpty() && now - vault.lastAt() <= GONE_MS) {
        there.add(vault);
        zones.add(vault.zone());
        first = Math.min(first, vault.firstAt());
      }
    }
    boolean enough = there.size() >= seats && (zones.size() >= seats || now - first >= ZONES_WAIT_MS);
    if (there.isEmpty() || !enough && now - first < FOUND_FEWER_MS) {
      return null;
    }
    List<Heard.Vault> chosen = spread(there);
    Seating seating = new Seating();
    for (Heard.Vault vault : chosen) {
      seating.seats.add(SeatingValues.seat(vault.address(), vault.station(), vault.life(), 1));
    }
    return seating;
  }

  /** One of each zone first, then others; in the order of their addresses. */
  private List<Heard.Vault> spread(List<Heard.Vault> there) {
    List<Heard.Vault> chosen = new ArrayList<>();
    Set<String> zones = new HashSet<>();
    for (Heard.Vault vault : there) {
      if (chosen.size() < seats && zones.add(vault.zone())) {
        chosen.add(vault);
      }
    }
    for (Heard.Vault vault : there) {
      if (chosen.size() < seats && !chosen.contains(vault)) {
        chosen.add(vault);
      }
    }
    chosen.sort(Comparator.comparing(Heard.Vault::address));
    return chosen;
  }

  /**
   * What is to be claimed at present, or null. Called often, also while the lease is not held.
   *
   * @param mayDirect whether this notary holds the lease and reads the head's register at a majority
   * @param retiring stations that are to be emptied
   */
  Order order(Heard heard, Seating shelf, Set<String> retiring, boolean mayDirect, long now) {
    if (!mayDirect || now - lastLook > HELD_UP_MS) {
      listening = now;
    }
    lastLook = now;
    if (!mayDirect) {
      order = null;
      return null;
    }
    forgetDone(shelf);
    int seat = order != null && wanted(heard, shelf, retiring, order.seat(), now) ? order.seat() : -1;
    for (int i = 0; i < shelf.seats.size() && seat < 0; i++) {
      if (wanted(heard, shelf, retiring, i, now)) {
        seat = i;
      }
    }
    if (seat < 0) {
      order = null;
      return null;
    }
    if (order != null && order.seat() == seat && heardWithin(heard, order.address(), GONE_MS, now)) {
      return order;
    }
    Heard.Vault spare = spare(heard, shelf, retiring, seat, now);
    order = spare == null ? null : new Order(seat, spare.address(), incarnation(shelf, seat));
    return order;
  }

  private void forgetDone(Seating shelf) {
    if (order != null && (order.seat() >= shelf.seats.size()
        || shelf.seats.get(order.seat()).incarnation >= order.incarnation())) {
      order = null;
    }
  }

  /** Above the present holder's, and above that of each spare that was sent for the seat before. */
  private int incarnation(Seating shelf, int seat) {
    Seat holder = shelf.seats.get(seat);
    boolean sameHolder = holder.life == orderedLife && seat == orderedFrom;
    orders = sameHolder ? orders + 1 : 1;
    orderedLife = holder.life;
    orderedFrom = seat;
    return holder.incarnation + orders;
  }

  /** Whether the seat is to be taken by another, and no other seat is in change. */
  private boolean wanted(Heard heard, Seating shelf, Set<String> retiring, int seat, long now) {
    Seat holder = shelf.seats.get(seat);
    boolean gone = gone(heard, holder, now);
    if (!gone && !retiring.contains(holder.station)) {
      return false;
    }
    int seated = 0;
    int away = 0;
    for (int i = 0; i < shelf.seats.size(); i++) {
      if (i == seat) {
        continue;
      }
      Seat other = shelf.seats.get(i);
      Heard.Vault vault = heard.vault(other.address);
      if (gone(heard, other, now)) {
        away++;
      } else if (vault != null && vault.seated() && vault.life() == other.life) {
        seated++;
      } else {
        return false;
      }
    }
    int quorum = shelf.seats.size() / 2 + 1;
    return seated >= Math.max(1, shelf.seats.size() - quorum + 1) && (gone || away == 0);
  }

  private boolean gone(Heard heard, Seat holder, long now) {
    Heard.Vault vault = heard.vault(holder.address);
    long last = vault == null ? listening : Math.max(listening, vault.lastAt());
    return now - last > GONE_MS;
  }

  private static boolean heardWithin(Heard heard, String address, long ms, long now) {
    Heard.Vault vault = heard.vault(address);
    return vault != null && now - vault.lastAt() <= ms;
  }

  /** In a zone where no other seat is, if there is such a one. */
  private static Heard.Vault spare(Heard heard, Seating shelf, Set<String> retiring, int seat, long now) {
    Set<String> zones = new HashSet<>();
    for (int i = 0; i < shelf.seats.size(); i++) {
      Heard.Vault holder = heard.vault(shelf.seats.get(i).address);
      if (i != seat && holder != null) {
        zones.add(holder.zone());
      }
    }
    Heard.Vault any = null;
    for (Heard.Vault vault : heard.vaults()) {
      if (now - vault.lastAt() <= SPARE_MS && SeatingValues.seatOf(shelf, vault.address()) < 0
          && !retiring.contains(vault.station())) {
        if (!zones.contains(vault.zone())) {
          return vault;
        }
        any = any == null ? vault : any;
      }
    }
    return any;
  }
}
