package elmsail.timetable.pull;

import elmsail.inner.words.Seating;

/**
 * What a process last said of itself with a pull; {@code at} in steady ms.
 *
 * @param role "clerk", "vault" or "notary"
 * @param shelf the seating that a vault knows
 */
public record Heard(String station, String address, String zone, String role, long life, boolean seated,
    boolean emptied, Seating shelf, long at) {

  /** Whether all but the time is the same. */
  boolean saysTheSame(Heard other) {
    return station.equals(other.station) && address.equals(other.address) && zone.equals(other.zone)
        && role.equals(other.role) && life == other.life && seated == other.seated
        && emptied == other.emptied && Rosters.same(shelf, other.shelf);
  }
}
