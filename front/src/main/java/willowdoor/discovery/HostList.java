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
 * The list of template servers at one version, with the changes since earlier versions. Immutable:
 * each change returns a new list. A limited number of entries that have left are kept, so that
 * watchers can be notified of them; a watcher with an older version receives the whole list.
 */
final class HostList {

  /** Maximum kept entries that have left. */
  private static final int MOST_LEFT = 1_000;

  /** An entry, and the version of its last change. */
  private record Held(Entry entry, long version) {}

  private final long version;

  /** The changes after this version are known. */
  private final long knownFrom;

  /** By id; the entries changed last are at the end. */
  private final Map<String, Held> held;

  private HostList(long version, long knownFrom, Map<String, Held> held) {
    this.version = version;
    this.knownFrom = knownFrom;
    this.held = held;
  }

  /** Creates a list without known changes before this version. */
  static HostList whole(long version, Collection<Entry> entries) {
    Map<String, Held> held = new LinkedHashMap<>();
    entries.forEach(e -> held.put(e.id(), new Held(e, version)));
    return new HostList(version, version, held);
  }

  long version() {
    return version;
  }

  /** Returns the entry with this id, including one that has left, or null. */
  Entry entry(String id) {
    Held found = held.get(id);
    return found == null ? null : found.entry();
  }

  /** Returns the version of the last change to this entry, or 0 if there is no such entry. */
  long changedAt(String id) {
    Held found = held.get(id);
    return found == null ? 0 : found.version();
  }

  /** Returns all entries that have not left. */
  List<Entry> present() {
    return held.values().stream().map(Held::entry).filter(e -> e.state() != State.LEFT).toList();
  }

  /** Returns the list after these changes, at a version greater than this list's version. */
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

  /**
   * Drops the entries that left earliest, beyond the limit. Returns the version after which changes
   * are still known.
   */
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
   * Returns the changes after the given version, in order, or empty if they are not known and the
   * whole list must be sent.
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
