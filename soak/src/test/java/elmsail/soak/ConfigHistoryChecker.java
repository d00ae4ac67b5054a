package elmsail.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** What operators sent, were told and read, and the invariants of it. */
final class ConfigHistoryChecker {
  private final Findings findings;
  private final Map<Long, String> sent = new HashMap<>();
  private final Map<Long, Long> acknowledgedOn = new HashMap<>();
  private final Map<Long, Long> acknowledgedAt = new HashMap<>();
  private final Set<Long> lost = new HashSet<>();
  private long lastEdition;

  ConfigHistoryChecker(Findings findings) {
    this.findings = findings;
  }

  /** A number that no change bears yet, above the base. */
  synchronized long nextEdition(long base, int step) {
    lastEdition = Math.max(lastEdition, base) + step;
    return lastEdition;
  }

  synchronized void sending(long edition, String content) {
    sent.put(edition, content);
  }

  /** A change was answered 200. */
  synchronized void acknowledged(long edition, long base, long atMs) {
    Long other = acknowledgedOn.putIfAbsent(base, edition);
    findings.check(
        Invariant.CONFIG_ONE_WINS,
        (other == null || other == edition) && !lost.contains(edition),
        atMs,
        edition + " was acknowledged on " + base + " beside " + other + ", lost: " + lost);
    acknowledgedAt.putIfAbsent(edition, atMs);
  }

  /** A change was answered 412: another one stands. */
  synchronized void lost(long edition, long atMs) {
    lost.add(edition);
    findings.check(
        Invariant.CONFIG_ONE_WINS,
        !acknowledgedAt.containsKey(edition),
        atMs,
        edition + " was acknowledged and lost");
  }

  /** A read was answered with a configuration. */
  synchronized void read(String machine, long sentMs, long atMs, long edition, String content) {
    for (Map.Entry<Long, Long> one : acknowledgedAt.entrySet()) {
      if (one.getValue() + Bounds.IN_FORCE_MS < sentMs) {
        findings.check(
            Invariant.CONFIG_KEPT,
            edition >= one.getKey(),
            atMs,
            machine + " reads " + edition + ", " + one.getKey() + " was acknowledged before");
      }
    }
    findings.check(
        Invariant.CONFIG_SAME,
        content.equals(sent.get(edition)),
        atMs,
        machine + " reads another " + edition + ": " + content);
    findings.check(
        Invariant.CONFIG_ONE_WINS,
        !lost.contains(edition),
        atMs,
        machine + " reads " + edition + " that had lost");
  }

  /** The newest that was acknowledged, 0 for none. */
  synchronized long newest() {
    return acknowledgedAt.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  synchronized int acknowledgedCount() {
    return acknowledgedAt.size();
  }
}
