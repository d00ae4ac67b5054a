package willowdoor.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import willowdoor.lab.record.Entry;

/**
 * When a front door could not be held to what it owes its clients: its process was killed, stopped
 * or starved, or the network between it and them was at fault. And when the lab itself stood still.
 */
final class Disturbed {

  private static final String CLIENTS = "clients";
  private static final Set<String> ON_PROCESSES = Set.of("stop", "starve");
  private static final Set<String> ON_WAYS =
      Set.of("cut", "delay", "limit", "reset", "break_after");

  /** How far from its end the end of a process may be seen, by the lab or by its clients. */
  private static final long SEEN_US = 100_000;

  private record Span(long begin, long end) {
    boolean meets(long from, long to) {
      return begin <= to && end >= from;
    }
  }

  private final Map<String, List<Span>> spans = new HashMap<>();
  private final List<Span> lab = new ArrayList<>();

  void see(Entry entry) {
    if (entry instanceof Entry.Life life && life.how().endsWith("KILL")) {
      add(life.door(), life.end() - SEEN_US, life.end() + SEEN_US);
    } else if (entry instanceof Entry.HeldUp held) {
      lab.add(new Span(held.begin(), held.end()));
    } else if (entry instanceof Entry.Fault fault) {
      boolean process = ON_PROCESSES.contains(fault.action());
      List<?> to = fault.args().get("to") instanceof List<?> list ? list : List.of();
      boolean way = ON_WAYS.contains(fault.action());
      if (process || way && to.contains(CLIENTS)) {
        fault.targets().forEach(door -> add(door, fault.begin(), fault.end()));
      } else if (way && fault.targets().contains(CLIENTS)) {
        to.forEach(door -> add(String.valueOf(door), fault.begin(), fault.end()));
      }
    }
  }

  private void add(String door, long begin, long end) {
    spans.computeIfAbsent(door, d -> new ArrayList<>()).add(new Span(begin, end));
  }

  /** Whether anything of that touched the span. */
  boolean in(String door, long from, long to) {
    return spans.getOrDefault(door, List.of()).stream().anyMatch(s -> s.meets(from, to));
  }

  /** How long the lab stood still in the span at most. */
  long heldUpUs(long from, long to) {
    return lab.stream()
        .filter(s -> s.meets(from, to))
        .mapToLong(s -> s.end() - s.begin())
        .max()
        .orElse(0);
  }
}
