package willowdoor.purge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Callers that wait for the outcome of a purge, by purge id. */
final class WaitingCallers {
  static final int MAX_CALLERS = 4_096;

  /** {@code statusOnly}: the caller queries the status and has not requested the purge. */
  record Caller(long number, String customer, boolean statusOnly, long deadline) {}

  /** The lists are never modified; copies of the map share them. */
  private final LinkedHashMap<PurgeId, List<Caller>> byId = new LinkedHashMap<>();

  private int size;

  WaitingCallers() {}

  WaitingCallers(WaitingCallers other) {
    byId.putAll(other.byId);
    size = other.size;
  }

  boolean full() {
    return size >= MAX_CALLERS;
  }

  boolean isEmpty() {
    return byId.isEmpty();
  }

  boolean hasCallersFor(PurgeId id) {
    return byId.containsKey(id);
  }

  void add(PurgeId id, Caller caller) {
    List<Caller> list = new ArrayList<>(byId.getOrDefault(id, List.of()));
    list.add(caller);
    byId.put(id, list);
    size++;
  }

  /** Removes and returns all callers that wait for the id. */
  List<Caller> removeAll(PurgeId id) {
    List<Caller> list = byId.remove(id);
    size -= list == null ? 0 : list.size();
    return list == null ? List.of() : list;
  }

  void remove(long caller) {
    for (Map.Entry<PurgeId, List<Caller>> entry : byId.entrySet()) {
      List<Caller> rest =
          entry.getValue().stream().filter(other -> other.number != caller).toList();
      size -= entry.getValue().size() - rest.size();
      entry.setValue(rest);
    }
    byId.values().removeIf(List::isEmpty);
  }

  /** The ids that have at least one caller whose deadline has passed. */
  List<PurgeId> overdueIds(long now) {
    List<PurgeId> ids = new ArrayList<>();
    byId.forEach(
        (id, list) -> {
          if (list.stream().anyMatch(other -> other.deadline <= now)) {
            ids.add(id);
          }
        });
    return ids;
  }
}
