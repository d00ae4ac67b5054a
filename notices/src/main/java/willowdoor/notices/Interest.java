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

  private static final class Known {
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
  private final TreeSet<Long> own = new TreeSet<>();

  /** Removals up to this version are forgotten: whoever is behind it begins anew. */
  private long forgotten;

  private final Map<Integer, Known> members = new HashMap<>();

  Interest(int self, long generation) {
    this.self = self;
    this.generation = generation;
  }

  /** Whether there is room for a customer that is not known yet. */
  boolean room(long customer) {
    return own.contains(customer) || own.size() < Limits.MAX_CUSTOMERS;
  }

  void set(long customer, boolean has) {
    if (has ? !own.add(customer) : !own.remove(customer)) {
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
      if (!own.contains(change.getValue())) {
        changedAt.remove(change.getValue());
        changes.remove(change.getKey());
        forgotten = Math.max(forgotten, change.getKey());
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
  public Delta since(long known) {
    long from = known < forgotten || known > version ? 0 : known;
    List<Long> added = new ArrayList<>();
    List<Long> removed = new ArrayList<>();
    long to = from;
    for (Map.Entry<Long, Long> change : changes.tailMap(from, false).entrySet()) {
      boolean has = own.contains(change.getValue());
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
  public long known(int member, long memberGeneration) {
    Known known = members.get(member);
    return known == null || known.generation != memberGeneration ? 0 : known.version;
  }

  /**
   * Takes in what a member says.
   *
   * @return the customers that changed; empty where nothing did. Where the changes do not join on
   *     to what is known, {@link #known} stays as it was, and the member is to be asked from there
   */
  public Set<Long> apply(Delta delta) {
    Set<Long> changed = new HashSet<>();
    if (delta.member() == self) {
      return changed;
    }
    Known known = members.computeIfAbsent(delta.member(), m -> new Known());
    if (delta.generation() < known.generation) {
      return changed;
    }
    if (delta.generation() > known.generation) {
      changed.addAll(known.customers);
      known.customers.clear();
      known.generation = delta.generation();
      known.version = 0;
    }
    if (delta.to() <= known.version || delta.from() > known.version) {
      return changed;
    }
    if (delta.from() == 0) {
      changed.addAll(known.customers);
      known.customers.clear();
    }
    for (long customer : delta.added()) {
      if (known.customers.size() < Limits.MAX_CUSTOMERS && known.customers.add(customer)) {
        changed.add(customer);
      }
    }
    for (long customer : delta.removed()) {
      if (known.customers.remove(customer)) {
        changed.add(customer);
      }
    }
    known.version = delta.to();
    return changed;
  }

  /** Forgets members that are in the view no more. */
  void keep(FleetView view) {
    members.keySet().removeIf(member -> view.member(member) == null);
  }

  /** Whether that member has readers of that customer. */
  boolean has(int member, long customer) {
    Known known = members.get(member);
    return known != null && known.customers.contains(customer);
  }
}
