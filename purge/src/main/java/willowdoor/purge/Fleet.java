package willowdoor.purge;

import java.util.List;
import java.util.TreeSet;

/**
 * The members of the fleet, the acceptors among them and the times of the protocol.
 *
 * @param members the numbers of all gateways, 0 to {@value #MAX_MEMBER}
 * @param acceptors the members that are acceptors, 1 to 9 of them
 */
public record Fleet(List<Integer> members, List<Integer> acceptors, Timing timing) {
  static final int MAX_MEMBER = 4_095;

  /** The number of members whose leases are listed in one datagram. */
  static final int MEMBERS_PER_PAGE = 64;

  public Fleet {
    members = List.copyOf(new TreeSet<>(members));
    acceptors = List.copyOf(new TreeSet<>(acceptors));
    if (acceptors.isEmpty() || acceptors.size() > 9 || !members.containsAll(acceptors)) {
      throw new IllegalArgumentException("there must be 1 to 9 acceptors, each of them a member");
    }
    if (members.get(0) < 0 || members.get(members.size() - 1) > MAX_MEMBER) {
      throw new IllegalArgumentException("members are numbered 0 to " + MAX_MEMBER);
    }
  }

  /** The size of a quorum: any two sets of this many acceptors have an acceptor in common. */
  public int majority() {
    return acceptors.size() / 2 + 1;
  }

  /** The number of datagrams that list the leases of all members. */
  int pages() {
    return members.get(members.size() - 1) / MEMBERS_PER_PAGE + 1;
  }
}
