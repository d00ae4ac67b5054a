package willowdoor.notices;

import java.util.List;

/**
 * The alive members of the fleet, as one member sees them.
 *
 * @param epoch never decreases at a member; equal at all members whose digest is equal
 * @param digest of the view
 * @param cutOff whether this member reaches less than a majority of the roster
 * @param members alive members, this one included, in the order of their numbers
 */
public record FleetView(long epoch, long digest, boolean cutOff, List<Member> members) {
  /**
   * A front door of the roster that is alive.
   *
   * @param number in the roster
   * @param generation of its process
   * @param clients the address where readers reach it
   */
  public record Member(int number, long generation, String clients) {}

  public FleetView {
    members = List.copyOf(members);
  }

  static FleetView none() {
    return new FleetView(0, 0, true, List.of());
  }

  /** Returns the member with that number, or null if it is not alive. */
  Member member(int number) {
    for (Member member : members) {
      if (member.number() == number) {
        return member;
      }
    }
    return null;
  }

  boolean alive(int number, long generation) {
    Member member = member(number);
    return member != null && member.generation() == generation;
  }
}
