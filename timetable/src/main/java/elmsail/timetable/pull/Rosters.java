package elmsail.timetable.pull;

import elmsail.inner.words.Roster;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** Puts together what several notaries say of who is there. Pure. */
final class Rosters {
  private Rosters() {
  }

  /** For each seat the higher incarnation of the two; a seat that only one knows is taken over. */
  static Seating merge(Seating mine, Seating told) {
    Seating merged = new Seating();
    int size = Math.max(mine.seats.size(), told.seats.size());
    for (int i = 0; i < size; i++) {
      Seat a = i < mine.seats.size() ? mine.seats.get(i) : null;
      Seat b = i < told.seats.size() ? told.seats.get(i) : null;
      merged.seats.add(a == null || b != null && b.incarnation > a.incarnation ? b : a);
    }
    return merged;
  }

  /** The union, in order. */
  static List<String> union(Collection<List<String>> words) {
    TreeSet<String> all = new TreeSet<>();
    for (List<String> one : words) {
      all.addAll(one);
    }
    return new ArrayList<>(all);
  }

  static boolean same(Roster one, Roster other) {
    return same(one.head, other.head) && same(one.shelf, other.shelf) && one.clerks.equals(other.clerks);
  }

  static boolean same(Seating one, Seating other) {
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

  private static boolean same(Seat a, Seat b) {
    return a.incarnation == b.incarnation && a.life == b.life && a.address.equals(b.address)
        && a.station.equals(b.station);
  }
}
