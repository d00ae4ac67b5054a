package elmsail.runtime;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A process's settings file, read with Typesafe Config by {@code SettingsFile}; fields it does not
 * know are passed over (DEPLOY.md, "Settings of a process").
 *
 * @param slots from {@code mail_slots}: "front", "ready", "control" to "ip:port"
 * @param seeds "ip:port" of the control addresses of some control-plane nodes
 * @param dataDir null where the machine has no disk
 * @param platform null where there is none
 */
public record Settings(
    String station,
    String role,
    String machineClass,
    Set<String> serves,
    String ip,
    String zone,
    String region,
    Map<String, String> zones,
    Map<String, String> slots,
    int innerFirst,
    int innerLast,
    List<String> seeds,
    boolean firstStart,
    boolean counted,
    Limits limits,
    String dataDir,
    Set<String> clauses,
    int bearMachines,
    Bounds bounds,
    Platform platform) {

  /** What the machine gives; cores and MB of 2^20 bytes. */
  public record Limits(double cpuShare, int memoryMb, int fds, double linkMbps, int diskMb) {}

  /** Milliseconds, but for the ratio. */
  public record Bounds(
      long inTouchMs,
      long ackMs,
      long catchUpMs,
      long drainMs,
      long graceMs,
      long lostSlackMs,
      long inForceMs,
      long passMs,
      long statusMs,
      long cancelMs,
      long settleMs,
      double quotaOver,
      long reuseAfterMs) {}

  /**
   * The platform's list of servers: "ip:port", calls a second from all processes together, ms
   * behind.
   */
  public record Platform(String address, double perSecond, long lagMs) {}

  /**
   * Whether this process holds a vote on the configuration: it answers operators and has a disk.
   */
  public boolean votes() {
    return serves.contains("head_office") && dataDir != null;
  }

  /**
   * Where this process answers the others: the first inner port, or the second for one that serves
   * the operators, as a machine's two processes share the ports.
   */
  public String innerAddress() {
    return serves.contains("head_office") ? headInner(ip) : ip + ":" + innerFirst;
  }

  /**
   * Where a store answers {@code GET /metrics}: the third inner port, as the first two are those of
   * {@link #innerAddress()}. The other processes answer it on their "ready" and "control" slots.
   */
  public String metricsAddress() {
    return ip + ":" + (innerFirst + 2);
  }

  /** The inner address of the control-plane node of a control address or a bare ip. */
  public String headInner(String address) {
    int colon = address.indexOf(':');
    return (colon < 0 ? address : address.substring(0, colon)) + ":" + (innerFirst + 1);
  }
}
