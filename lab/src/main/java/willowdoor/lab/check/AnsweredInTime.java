package willowdoor.lab.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.LabClock;

/**
 * Every request that a front door has taken has its final answer within its time and the grace,
 * unless the front door was killed or otherwise disturbed meanwhile. A request that its client
 * wrote once more, as a close had crossed it, must not have been read before.
 */
public final class AnsweredInTime implements Checker {

  private final List<Entry.Asked> suspects = new ArrayList<>();
  private final List<Entry.Asked> resent = new ArrayList<>();
  private final Map<String, Long> firstBegun = new HashMap<>();
  private final Disturbed disturbed = new Disturbed();
  private double graceMs = 500;

  @Override
  public void see(Entry entry) {
    disturbed.see(entry);
    if (entry instanceof Entry.Run run) {
      graceMs = run.bounds().getOrDefault("grace_ms", graceMs);
    } else if (entry instanceof Entry.Attempt attempt && attempt.began() > 0) {
      firstBegun.merge(attempt.id(), attempt.begin(), Math::min);
    } else if (entry instanceof Entry.Asked asked && asked.taken()) {
      if (asked.resent() > 0) {
        resent.add(asked);
      }
      if (!asked.how().equals("answered") || asked.end() > due(asked)) {
        suspects.add(asked);
      }
    }
  }

  private long due(Entry.Asked asked) {
    return asked.begin() + LabClock.us(asked.timeoutMs() + graceMs);
  }

  @Override
  public List<Finding> findings() {
    List<Finding> findings = new ArrayList<>();
    for (Entry.Asked asked : suspects) {
      long until = Math.max(asked.end(), due(asked));
      boolean inTime =
          asked.how().equals("answered")
              && asked.end() - disturbed.heldUpUs(asked.begin(), until) <= due(asked);
      if (!inTime && !disturbed.in(asked.door(), asked.begin(), until)) {
        findings.add(
            new Finding(
                name(),
                asked.end(),
                String.format(
                    "request %s to %s was %s after %.0f ms of its %d",
                    asked.id(),
                    asked.door(),
                    asked.how(),
                    (asked.end() - asked.begin()) / 1e3,
                    asked.timeoutMs())));
      }
    }
    for (Entry.Asked asked : resent) {
      if (firstBegun.getOrDefault(asked.id(), Long.MAX_VALUE) < asked.resent()
          && !disturbed.in(asked.door(), asked.begin(), asked.end())) {
        findings.add(
            new Finding(
                name(),
                asked.end(),
                "request "
                    + asked.id()
                    + " to "
                    + asked.door()
                    + " was at a server when its connection ended without an answer"));
      }
    }
    return findings;
  }
}
