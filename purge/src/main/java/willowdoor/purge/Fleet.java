package willowdoor.purge;

import java.util.List;
import java.util.TreeSet;

/**
 * Who may be there: the roster as this part needs it.
 *
 * @param members the numbers of all front doors, 0 to {@value #MAX_MEMBER}
 * @param acceptors those of them that are acceptors, 1 to 9
 */
public record Fleet(List<Integer> members, List<Integer> acceptors, Timing timing) {
  static final int MAX_MEMBER = 4_095;

  /** Members whose leases are told in one datagram. */
  static final int MEMBERS_PER_PAGE = 64;

  public Fleet {
    members = List.copyOf(new TreeSet<>(members));
    acceptors = List.copyOf(new TreeSet<>(acceptors));
    if (acceptors.isEmpty() || acceptors.size() > 9 || !members.containsAll(acceptors)) {
      throw new IllegalArgumentException("1 to 9 keepers, each of them a member");
    }
    if (members.get(0) < 0 || members.get(members.size() - 1) > MAX_MEMBER) {
      throw new IllegalArgumentException("members are numbered 0 to " + MAX_MEMBER);
    }
  }

  /** Any two sets of so many keepers share one. */
  public int majority() {
    return acceptors.size() / 2 + 1;
  }

  /** How many datagrams tell the leases of all members. */
  int pages() {
    return members.get(members.size() - 1) / MEMBERS_PER_PAGE + 1;
  }
}
