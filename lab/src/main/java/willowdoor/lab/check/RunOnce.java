package willowdoor.lab.check;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import willowdoor.lab.record.Entry;

/**
 * What is unsafe to repeat is begun by servers once at most, unless the one before said that it had
 * not started; and it is not refused as harmless once a server has begun it.
 */
public final class RunOnce implements Checker {

  private final Set<String> unsafe = new HashSet<>();
  private final Map<String, Entry.Asked> asked = new HashMap<>();
  private final Map<String, List<Entry.Attempt>> begun = new HashMap<>();

  @Override
  public void see(Entry entry) {
    if (entry instanceof Entry.Run run) {
      for (JsonNode type : run.settings().path("Profiles")) {
        if (type.path("Repeat").asText().equals("side_effect")) {
          unsafe.add(type.path("Name").asText());
        }
      }
    } else if (entry instanceof Entry.Asked request && unsafe.contains(request.type())) {
      asked.put(request.id(), request);
    } else if (entry instanceof Entry.Attempt attempt && attempt.began() > 0) {
      begun.computeIfAbsent(attempt.id(), id -> new ArrayList<>(1)).add(attempt);
    }
  }

  @Override
  public List<Finding> findings() {
    List<Finding> findings = new ArrayList<>();
    asked.forEach(
        (id, request) -> {
          List<Entry.Attempt> of = begun.getOrDefault(id, List.of());
          long first = of.stream().mapToLong(Entry.Attempt::began).min().orElse(Long.MAX_VALUE);
          if (of.size() > 1) {
            findings.add(
                new Finding(
                    name(),
                    first,
                    type(request)
                        + " was begun "
                        + of.size()
                        + " times, at "
                        + of.stream()
                            .sorted(Comparator.comparingLong(Entry.Attempt::began))
                            .map(Entry.Attempt::server)
                            .toList()));
          }
          if ((request.status() == 429 || request.status() == 503) && first < request.end()) {
            findings.add(
                new Finding(
                    name(),
                    request.end(),
                    type(request)
                        + " was refused by "
                        + request.door()
                        + " after "
                        + of.get(0).server()
                        + " had begun it"));
          }
        });
    return findings;
  }

  private static String type(Entry.Asked request) {
    return request.type() + " request " + request.id();
  }
}
