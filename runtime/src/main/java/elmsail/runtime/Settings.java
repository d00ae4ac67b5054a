package elmsail.runtime;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The settings of a process, read from its settings file by {@link SettingsFile}. The names of the
 * fields in the file are given where they differ.
 *
 * @param machine the node's name, {@code station} in the file
 * @param services who may call the process from outside, {@code serves} in the file
 * @param listenAddresses from {@code mail_slots}: "front", "ready", "control" to "ip:port"
 * @param firstInternalPort first of {@code inner_ports}
 * @param lastInternalPort last of {@code inner_ports}, inclusive
 * @param seeds control addresses of some control-plane nodes as "ip:port", {@code seed_stations}
 * @param firstStart whether the whole system starts for the first time, with empty disks
 * @param dataDir null if the machine has no disk
 * @param toleratedMachineLosses from {@code bear_losses.machines}: the f of 2f + 1 voters
 * @param platform {@code carrier_api}; null if there is none
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

  /** The resources of the machine: cores, MB of 2^20 bytes, Mbit/s. */
  public record Limits(
      double cpuShare, int memoryMb, int maxFileDescriptors, double linkMbps, int diskMb) {}

  /**
   * Time bounds in ms; {@code quotaOver} is a ratio.
   *
   * @param revokeMs within which a key that was removed from the configuration is refused
   *     everywhere, also by processes that are partitioned; 0 if that is not required ({@code
   *     revoked_everywhere})
   * @param usageWindowMs length of a window whose usage is reported; 0 if none is ({@code
   *     report_window_s})
   * @param usageLateMs within which a closed window is to be reported ({@code usage_late_s})
   * @param leaseMs within which two processes may not take turns at a singleton duty
   */
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
      long reuseAfterMs,
      long revokeMs,
      long usageWindowMs,
      long usageLateMs,
      long leaseMs) {
    /** Unless the settings say otherwise. */
    static final long DEFAULT_LEASE_MS = 3_000;

    /** Without revocation everywhere and without usage reports. */
    public Bounds(
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
        long reuseAfterMs) {
      this(
          inTouchMs,
          ackMs,
          catchUpMs,
          drainMs,
          graceMs,
          lostSlackMs,
          inForceMs,
          passMs,
          statusMs,
          cancelMs,
          settleMs,
          quotaOver,
          reuseAfterMs,
          0,
          0,
          0,
          DEFAULT_LEASE_MS);
    }
  }

  /**
   * The platform: its list of servers, and the calls that one process at a time makes.
   *
   * @param address "ip:port"
   * @param maxCallsPerSecond of all processes together, for the list
   * @param lagMs how far the list is behind
   * @param duties the singleton duties that the platform expects ({@code rounds}), {@link
   *     #USAGE_DUTY} and {@link #FLEET_DUTY} among them
   * @param maxDutyCallsPerSecond of all processes together, for the duties ({@code round_per_s})
   */
  public record Platform(
      String address,
      double maxCallsPerSecond,
      long lagMs,
      Set<String> duties,
      double maxDutyCallsPerSecond) {
    /** The duty to report each window's usage. */
    public static final String USAGE_DUTY = "usage";

    /** The duty to set the number of servers of each zone. */
    public static final String FLEET_DUTY = "fleet";

    /** A platform that expects no singleton duties. */
    public Platform(String address, double maxCallsPerSecond, long lagMs) {
      this(address, maxCallsPerSecond, lagMs, Set.of(), 0);
    }
  }

  /** Whether this process may vote on the configuration: it serves operators and has a disk. */
  public boolean isControlPlaneVoter() {
    return services.contains("head_office") && dataDir != null;
  }

  /**
   * The address of this process for the others, "ip:port": the first internal port, or the second
   * for one that serves operators, as the two processes of a machine share the ports.
   */
  public String rpcAddress() {
    return services.contains("head_office")
        ? controlPlaneRpcAddress(ip)
        : ip + ":" + firstInternalPort;
  }

  /**
   * The address at which a store serves {@code GET /metrics}: the third internal port, as the first
   * two are used by {@link #rpcAddress()}. Other processes serve it at "ready" and "control".
   */
  public String metricsAddress() {
    return ip + ":" + (firstInternalPort + 2);
  }

  /** The name, in the settings file, of the field that holds or implies this listen address. */
  public String settingOf(String address) {
    for (Map.Entry<String, String> slot : listenAddresses.entrySet()) {
      if (slot.getValue().equals(address)) {
        return "mail_slots." + slot.getKey();
      }
    }
    return "inner_ports";
  }

  /** The RPC address of the control-plane node with that control address or ip. */
  public String controlPlaneRpcAddress(String address) {
    int colon = address.indexOf(':');
    return (colon < 0 ? address : address.substring(0, colon)) + ":" + (firstInternalPort + 1);
  }
}
