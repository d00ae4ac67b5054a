package willowdoor.notices;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Which member has readers of which customer. Each member says so of itself, in changes that carry
 * versions, so that they may go any way: with the members' exchange, twice, late. What does not
 * join on to what is known is asked for again from there.
 */
public final class Interest {
  /** In one message: about 1,000 bytes. */
  static final int MAX_CHANGES = 100;

  /**
   * The changes of a member's interest after one version, up to another; from 0 they are all that
   * holds.
   *
   * @param generation of the member's process; what an older one said is void
   */
  public record Delta(
      int member, long generation, long from, long to, List<Long> added, List<Long> removed) {
    public Delta {
      added = List.copyOf(added);
      removed = List.copyOf(removed);
      if (from < 0 || to < from || added.size() + removed.size() > MAX_CHANGES) {
        throw new IllegalArgumentException("not a change of interest");
      }
    }
  }

  private static final class MemberInterest {
    private long generation;
    private long version;
    private final Set<Long> customers = new HashSet<>();
  }

  private final int self;
  private final long generation;
  private long version;

  /** The own changes by their versions, the last of each customer only. */
  private final TreeMap<Long, Long> changes = new TreeMap<>();

  private final Map<Long, Long> changedAt = new HashMap<>();
  private final TreeSet<Long> ownCustomers = new TreeSet<>();

  /** Removals up to this version are forgotten: whoever is behind it begins anew. */
  private long forgottenVersion;

  private final Map<Integer, MemberInterest> members = new HashMap<>();

  Interest(int self, long generation) {
    this.self = self;
    this.generation = generation;
  }

  /** Whether there is room for a customer that is not known yet. */
  boolean hasRoomFor(long customer) {
    return ownCustomers.contains(customer) || ownCustomers.size() < Limits.MAX_CUSTOMERS;
  }

  void set(long customer, boolean has) {
    if (has ? !ownCustomers.add(customer) : !ownCustomers.remove(customer)) {
      return;
    }
    Long before = changedAt.put(customer, ++version);
    if (before != null) {
      changes.remove(before);
    }
    changes.put(version, customer);
    while (changes.size() > 2 * Limits.MAX_CUSTOMERS) {
      forgetOldestRemoval();
    }
  }

  private void forgetOldestRemoval() {
    for (Map.Entry<Long, Long> change : changes.entrySet()) {
      if (!ownCustomers.contains(change.getValue())) {
        changedAt.remove(change.getValue());
        changes.remove(change.getKey());
        forgottenVersion = Math.max(forgottenVersion, change.getKey());
        return;
      }
    }
  }

  public long version() {
    return version;
  }

  /**
   * What changed here after that version, as much as goes into one message; empty changes where
   * nothing did.
   */
  public Delta changesSince(long knownVersion) {
    long from = knownVersion < forgottenVersion || knownVersion > version ? 0 : knownVersion;
    List<Long> added = new ArrayList<>();
    List<Long> removed = new ArrayList<>();
    long to = from;
    for (Map.Entry<Long, Long> change : changes.tailMap(from, false).entrySet()) {
      boolean has = ownCustomers.contains(change.getValue());
      if (added.size() + removed.size() == MAX_CHANGES) {
        return new Delta(self, generation, from, to, added, removed);
      }
      if (has || from > 0) {
        (has ? added : removed).add(change.getValue());
      }
      to = change.getKey();
    }
    return new Delta(self, generation, from, version, added, removed);
  }

  /** What is known of a member's interest; 0 where nothing of that generation. */
  public long knownVersion(int member, long memberGeneration) {
    MemberInterest state = members.get(member);
    return state == null || state.generation != memberGeneration ? 0 : state.version;
  }

  /**
   * Takes in what a member says.
   *
   * @return the customers that changed; empty where nothing did. Where the changes do not join on
   *     to what is known, {@link #knownVersion} stays as it was, and the member is to be asked from
   *     there
   */
  public Set<Long> apply(Delta delta) {
    Set<Long> changed = new HashSet<>();
    if (delta.member() == self) {
      return changed;
    }
    MemberInterest state = members.computeIfAbsent(delta.member(), m -> new MemberInterest());
    if (delta.generation() < state.generation) {
      return changed;
    }
    if (delta.generation() > state.generation) {
      changed.addAll(state.customers);
      state.customers.clear();
      state.generation = delta.generation();
      state.version = 0;
    }
    if (delta.to() <= state.version || delta.from() > state.version) {
      return changed;
    }
    if (delta.from() == 0) {
      changed.addAll(state.customers);
      state.customers.clear();
    }
    for (long customer : delta.added()) {
      if (state.customers.size() < Limits.MAX_CUSTOMERS && state.customers.add(customer)) {
        changed.add(customer);
      }
    }
    for (long customer : delta.removed()) {
      if (state.customers.remove(customer)) {
        changed.add(customer);
      }
    }
    state.version = delta.to();
    return changed;
  }

  /** Forgets members that are in the view no more. */
  void retainMembers(FleetView view) {
    members.keySet().removeIf(member -> view.member(member) == null);
  }

  /** Whether that member has readers of that customer. */
  boolean hasReaders(int member, long customer) {
    MemberInterest state = members.get(member);
    return state != null && state.customers.contains(customer);
  }
}
