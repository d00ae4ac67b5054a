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
 * Tracks which member has readers of which customer. Each member publishes its own interest as
 * versioned changes, so that changes may arrive late, twice or by any route of the members'
 * exchange. Changes that do not follow the known version are requested again from that version.
 */
public final class Interest {
  /** Maximum number of changes in one message, about 1,000 bytes. */
  static final int MAX_CHANGES = 100;

  /**
   * Changes of a member's interest after version {@code from}, up to version {@code to}. If {@code
   * from} is 0, the changes are the complete interest.
   *
   * @param generation of the member's process; interest of an older generation is void
   */
  public record Delta(
      int member, long generation, long from, long to, List<Long> added, List<Long> removed) {
    public Delta {
      added = List.copyOf(added);
      removed = List.copyOf(removed);
      if (from < 0 || to < from || added.size() + removed.size() > MAX_CHANGES) {
        throw new IllegalArgumentException("invalid interest delta");
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

  /** This member's changes by version; only the last change of each customer. */
  private final TreeMap<Long, Long> changes = new TreeMap<>();

  private final Map<Long, Long> changedAt = new HashMap<>();
  private final TreeSet<Long> ownCustomers = new TreeSet<>();

  /**
   * Removals up to this version are no longer kept: a member that knows an older version gets the
   * complete interest.
   */
  private long forgottenVersion;

  private final Map<Integer, MemberInterest> members = new HashMap<>();

  Interest(int self, long generation) {
    this.self = self;
    this.generation = generation;
  }

  /** Returns whether the customer is known or another customer can be added. */
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
   * Returns the changes here after that version, as many as fit into one message; no changes if
   * nothing changed.
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

  /** Returns the known version of a member's interest, or 0 if none of that generation is known. */
  public long knownVersion(int member, long memberGeneration) {
    MemberInterest state = members.get(member);
    return state == null || state.generation != memberGeneration ? 0 : state.version;
  }

  /**
   * Applies the changes that a member published.
   *
   * @return the customers whose interest changed; empty if none did. If the changes do not follow
   *     the known version, {@link #knownVersion} stays as it was, and the changes after that
   *     version must be requested from the member
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

  /** Removes members that are not in the view. */
  void retainMembers(FleetView view) {
    members.keySet().removeIf(member -> view.member(member) == null);
  }

  /** Returns whether that member has readers of that customer. */
  boolean hasReaders(int member, long customer) {
    MemberInterest state = members.get(member);
    return state != null && state.customers.contains(customer);
  }
}
