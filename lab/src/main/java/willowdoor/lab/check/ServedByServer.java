package willowdoor.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import willowdoor.lab.record.Entry;

/**
 * No answer says 200 without a template server having begun and served that request, with that
 * body; and nothing reaches a server that no client asked for.
 */
public final class ServedByServer implements Checker {

  /** How far two observations of one moment may differ in the records. */
  private static final long SAME_US = 1_000;

  private final Map<String, Entry.Asked> served = new HashMap<>();
  private final Set<String> asked = new HashSet<>();
  private final Map<String, List<Entry.Attempt>> attempts = new HashMap<>();

  @Override
  public void see(Entry entry) {
    if (entry instanceof Entry.Asked request) {
      asked.add(request.id());
      if (request.status() == 200) {
        served.put(request.id(), request);
      }
    } else if (entry instanceof Entry.Attempt attempt) {
      attempts.computeIfAbsent(attempt.id(), id -> new ArrayList<>(1)).add(attempt);
    }
  }

  @Override
  public List<Finding> findings() {
    List<Finding> findings = new ArrayList<>();
    served.forEach(
        (id, request) -> {
          boolean made =
              attempts.getOrDefault(id, List.of()).stream()
                  .anyMatch(
                      a ->
                          a.how().equals("served")
                              && a.body().equals(request.body())
                              && a.began() + SAME_US >= request.begin()
                              && a.began() <= request.end() + SAME_US);
          if (!made) {
            findings.add(
                new Finding(
                    name(),
                    request.end(),
                    "request "
                        + id
                        + " to "
                        + request.door()
                        + " was answered 200 with '"
                        + request.body()
                        + "', which no server made for it"));
          }
        });
    attempts.forEach(
        (id, of) -> {
          if (!asked.contains(id)) {
            findings.add(
                new Finding(
                    name(),
                    of.get(0).begin(),
                    "server "
                        + of.get(0).server()
                        + " was sent the request "
                        + id
                        + ", which no client made"));
          }
        });
    return findings;
  }
}
