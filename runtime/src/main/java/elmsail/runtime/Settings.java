package elmsail.runtime;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A process's settings file, read with Typesafe Config by {@code SettingsFile}; fields it does not
 * know are passed over (DEPLOY.md, "Settings of a process").
 *
 * @param listenAddresses from {@code mail_slots}: "front", "ready", "control" to "ip:port"
 * @param seeds "ip:port" of the control addresses of some control-plane nodes
 * @param dataDir null where the machine has no disk
 * @param platform null where there is none
 */
public record Settings(
    String machine,
    String role,
    String machineClass,
    Set<String> services,
    String ip,
    String zone,
    String region,
    Map<String, String> zones,
    Map<String, String> listenAddresses,
    int firstInternalPort,
    int lastInternalPort,
    List<String> seeds,
    boolean firstStart,
    boolean counted,
    Limits limits,
    String dataDir,
    Set<String> clauses,
    int toleratedMachineLosses,
    Bounds bounds,
    Platform platform) {

  /** What the machine gives; cores and MB of 2^20 bytes. */
  public record Limits(
      double cpuShare, int memoryMb, int maxFileDescriptors, double linkMbps, int diskMb) {}

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
  public record Platform(String address, double maxCallsPerSecond, long lagMs) {}

  /**
   * Whether this process holds a vote on the configuration: it answers operators and has a disk.
   */
  public boolean isControlPlaneVoter() {
    return services.contains("head_office") && dataDir != null;
  }

  /**
   * Where this process answers the others: the first inner port, or the second for one that serves
   * the operators, as a machine's two processes share the ports.
   */
  public String rpcAddress() {
    return services.contains("head_office")
        ? controlPlaneRpcAddress(ip)
        : ip + ":" + firstInternalPort;
  }

  /**
   * Where a store answers {@code GET /metrics}: the third inner port, as the first two are those of
   * {@link #rpcAddress()}. The other processes answer it on their "ready" and "control" slots.
   */
  public String metricsAddress() {
    return ip + ":" + (firstInternalPort + 2);
  }

  /** The inner address of the control-plane node of a control address or a bare ip. */
  public String controlPlaneRpcAddress(String address) {
    int colon = address.indexOf(':');
    return (colon < 0 ? address : address.substring(0, colon)) + ":" + (firstInternalPort + 1);
  }
}
