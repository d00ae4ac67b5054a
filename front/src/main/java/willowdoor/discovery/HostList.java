package willowdoor.discovery;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import willowdoor.discovery.Entry.State;

/**
 * The list of template servers at one version, and what changed on the way there. It does not
 * change: each change gives the next list. Entries that have left are kept as news for those who
 * watch, a bounded number of them; who knows less than that is told the whole list.
 */
final class HostList {

  /** Entries that have left and are still told. */
  private static final int MOST_LEFT = 1_000;

  /** An entry, and the version that changed it last. */
  private record Held(Entry entry, long version) {}

  private final long version;

  /** What changed after this version is known. */
  private final long knownFrom;

  /** By id, those changed last at the end. */
  private final Map<String, Held> held;

  private HostList(long version, long knownFrom, Map<String, Held> held) {
    this.version = version;
    this.knownFrom = knownFrom;
    this.held = held;
  }

  /** A list that was not followed up to this version. */
  static HostList whole(long version, Collection<Entry> entries) {
    Map<String, Held> held = new LinkedHashMap<>();
    entries.forEach(e -> held.put(e.id(), new Held(e, version)));
    return new HostList(version, version, held);
  }

  long version() {
    return version;
  }

  /** The entry with this id, one that has left too, or null. */
  Entry entry(String id) {
    Held found = held.get(id);
    return found == null ? null : found.entry();
  }

  /** The version that changed this entry last, or 0 where there is none. */
  long changedAt(String id) {
    Held found = held.get(id);
    return found == null ? 0 : found.version();
  }

  /** All that have not left. */
  List<Entry> present() {
    return held.values().stream().map(Held::entry).filter(e -> e.state() != State.LEFT).toList();
  }

  /** The list after these changes, at a version that is greater than this one's. */
  HostList with(long next, List<Entry> changes) {
    if (next <= version) {
      throw new IllegalArgumentException("version " + next + " does not follow " + version);
    }
    Map<String, Held> then = new LinkedHashMap<>(held);
    for (Entry e : changes) {
      then.remove(e.id());
      then.put(e.id(), new Held(e, next));
    }
    return new HostList(next, forget(then), then);
  }

  /** Drops those that left first; from which version on changes are known then. */
  private long forget(Map<String, Held> then) {
    List<Held> left =
        then.values().stream()
            .filter(h -> h.entry().state() == State.LEFT)
            .sorted(Comparator.comparingLong(Held::version))
            .toList();
    long from = knownFrom;
    for (Held h : left.subList(0, Math.max(0, left.size() - MOST_LEFT))) {
      then.remove(h.entry().id());
      from = Math.max(from, h.version());
    }
    return from;
  }

  /**
   * What changed after the version, in order; empty where that is not known, and the whole list is
   * owed.
   */
  Optional<List<Entry>> since(long since) {
    if (since < knownFrom || since > version) {
      return Optional.empty();
    }
    List<Entry> changed = new ArrayList<>();
    for (Held h : held.values()) {
      if (h.version() > since) {
        changed.add(h.entry());
      }
    }
    return Optional.of(changed);
  }
}
