package elmsail.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Records what operators sent, had acknowledged and read of configurations, and checks the
 * invariants of it. Thread-safe.
 */
final class ConfigHistoryChecker {
  private final Findings findings;
  private final Map<Long, String> sent = new HashMap<>();
  private final Map<Long, Long> acknowledgedOn = new HashMap<>();
  private final Map<Long, Long> acknowledgedAt = new HashMap<>();
  private final Set<Long> onConflict = new HashSet<>();
  private long lastVersion;

  ConfigHistoryChecker(Findings findings) {
    this.findings = findings;
  }

  /** A version that no change has yet, above the base. */
  synchronized long nextVersion(long base, int step) {
    lastVersion = Math.max(lastVersion, base) + step;
    return lastVersion;
  }

  synchronized void onSend(long version, String content) {
    sent.put(version, content);
  }

  /** A change was acknowledged with 200. */
  synchronized void onAcknowledged(long version, long base, long atMs) {
    Long other = acknowledgedOn.putIfAbsent(base, version);
    findings.check(
        Invariant.CONFIG_ONE_WINS,
        (other == null || other == version) && !onConflict.contains(version),
        atMs,
        version + " was acknowledged on " + base + " beside " + other + ", lost: " + onConflict);
    acknowledgedAt.putIfAbsent(version, atMs);
  }

  /** A change was rejected with 412: another one was committed. */
  synchronized void onConflict(long version, long atMs) {
    onConflict.add(version);
    findings.check(
        Invariant.CONFIG_ONE_WINS,
        !acknowledgedAt.containsKey(version),
        atMs,
        version + " was acknowledged and lost");
  }

  /** A read returned a configuration. */
  synchronized void onRead(String machine, long sentMs, long atMs, long version, String content) {
    for (Map.Entry<Long, Long> one : acknowledgedAt.entrySet()) {
      if (one.getValue() + Bounds.IN_FORCE_MS < sentMs) {
        findings.check(
            Invariant.CONFIG_KEPT,
            version >= one.getKey(),
            atMs,
            machine + " reads " + version + ", " + one.getKey() + " was acknowledged before");
      }
    }
    findings.check(
        Invariant.CONFIG_SAME,
        content.equals(sent.get(version)),
        atMs,
        machine + " reads another " + version + ": " + content);
    findings.check(
        Invariant.CONFIG_ONE_WINS,
        !onConflict.contains(version),
        atMs,
        machine + " reads " + version + " that had lost");
  }

  /** The newest acknowledged version; 0 if there is none. */
  synchronized long newest() {
    return acknowledgedAt.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
  }

  synchronized int acknowledgedCount() {
    return acknowledgedAt.size();
  }
}
