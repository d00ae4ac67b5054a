package willowdoor.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.LabClock;

/**
 * Nothing is sent to a template server later than the grace of the rules, and the 50 ms that
 * sockets have more, after discovery has told the front door that it leaves.
 */
public final class Drains implements Checker {

  private static final double ON_SOCKETS_MS = 50;

  private final Map<String, Entry.Asked> asked = new HashMap<>();
  private final List<Entry.Attempt> attempts = new ArrayList<>();

  /** What each front door was told of each server, by time. */
  private final Map<String, TreeMap<Long, String>> told = new HashMap<>();

  private final Disturbed disturbed = new Disturbed();
  private double graceMs;

  @Override
  public void see(Entry entry) {
    disturbed.see(entry);
    if (entry instanceof Entry.Run run) {
      graceMs = run.settings().path("Rules").path("DrainGraceMs").asDouble() + ON_SOCKETS_MS;
    } else if (entry instanceof Entry.Asked request) {
      asked.put(request.id(), request);
    } else if (entry instanceof Entry.Attempt attempt) {
      attempts.add(attempt);
    } else if (entry instanceof Entry.Told news) {
      news.states()
          .forEach(
              (server, state) ->
                  told.computeIfAbsent(news.door() + ' ' + server, k -> new TreeMap<>())
                      .put(news.begin(), state));
    }
  }

  @Override
  public List<Finding> findings() {
    List<Finding> findings = new ArrayList<>();
    for (Entry.Attempt attempt : attempts) {
      Entry.Asked request = asked.get(attempt.id());
      if (request == null) {
        continue;
      }
      TreeMap<Long, String> of =
          told.getOrDefault(request.door() + ' ' + attempt.server(), new TreeMap<>());
      Map.Entry<Long, String> news = of.floorEntry(attempt.begin() - LabClock.us(graceMs));
      if (news != null
          && !news.getValue().equals("active")
          && !of.floorEntry(attempt.begin()).getValue().equals("active")
          && !disturbed.in(request.door(), news.getKey(), attempt.begin())) {
        findings.add(
            new Finding(
                name(),
                attempt.begin(),
                request.door()
                    + " sent the request "
                    + attempt.id()
                    + " to "
                    + attempt.server()
                    + " "
                    + (attempt.begin() - news.getKey()) / 1_000
                    + " ms after it was told: "
                    + news.getValue()));
      }
    }
    return findings;
  }
}
