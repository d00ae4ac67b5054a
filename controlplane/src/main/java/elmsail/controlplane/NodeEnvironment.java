package elmsail.controlplane;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.runtime.WallClock;
import elmsail.storage.RecordStore;

/**
 * The settings, event loop, RPC and disk that the process provides to a control-plane node. The
 * caller owns them and closes them after the node.
 *
 * @param settings of this process
 * @param timers of the event loop, on which everything in this package runs
 * @param rpcClient calls to other processes
 * @param handlers where the handlers of other processes' calls are registered
 * @param records this process's records on disk; null if it has no disk
 * @param processId identifies this process, drawn at random at each start
 * @param metrics the process's counters, gauges and invariants
 * @param wallClock the machine's time of day; no timeout or interval depends on it
 */
record NodeEnvironment(
    Settings settings,
    Timers timers,
    RpcClient rpcClient,
    RequestHandlers handlers,
    RecordStore records,
    long processId,
    ProcessMetrics metrics,
    WallClock wallClock) {

  /** Creates an environment with the machine's own time of day. */
  NodeEnvironment(
      Settings settings,
      Timers timers,
      RpcClient rpcClient,
      RequestHandlers handlers,
      RecordStore records,
      long processId,
      ProcessMetrics metrics) {
    this(settings, timers, rpcClient, handlers, records, processId, metrics, WallClock.SYSTEM);
  }

  boolean hasDisk() {
    return records != null;
  }

  /** The disk's instance id; without a disk the id of this process. */
  long instanceId() {
    return hasDisk() ? records.instanceId() : processId;
  }

  /** The RPC address of this process, "ip:port". */
  String localAddress() {
    return settings.rpcAddress();
  }

  /**
   * The number of voters in a voter set such that a majority remains after the tolerated machine
   * losses.
   */
  int targetVoterCount() {
    return 2 * settings.toleratedMachineLosses() + 1;
  }
}
