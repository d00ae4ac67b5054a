package elmsail.config.watch;

import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.ServiceDemand;
import elmsail.runtime.Settings;
import java.util.List;
import java.util.function.Supplier;

/**
 * Builds the requests of the watch streams, which contain the identity, the status and the known
 * versions of this process. Owned by the event loop.
 */
final class WatchRequestFactory {
  private static final long LONG_POLL_MS = 1_000;
  private static final long NO_WAIT_MS = 0;
  private static final long FRESH_LIST_AGE_MS = 1_500;

  /**
   * Sent instead of the known epoch: no list is newer, so the response contains only the list's
   * age.
   */
  private static final long AGE_ONLY_EPOCH = Long.MAX_VALUE;

  private final Settings settings;
  private final PeerRole role;
  private final long instanceId;
  private final Supplier<StoreStatus> storeStatus;
  private Supplier<List<ServiceDemand>> demand = List::of;

  /**
   * Creates the factory of one process.
   *
   * @param storeStatus read at each request
   */
  WatchRequestFactory(
      Settings settings, PeerRole role, long instanceId, Supplier<StoreStatus> storeStatus) {
    this.settings = settings;
    this.role = role;
    this.instanceId = instanceId;
    this.storeStatus = storeStatus;
  }

  /** Sets the supplier of the open requests that a gateway reports; read at each request. */
  void setDemandSource(Supplier<List<ServiceDemand>> newDemand) {
    demand = newDemand;
  }

  /**
   * The next request of a stream.
   *
   * @param nearest the preferred stream for complete lists; null if there is none
   * @param configVersion the version of the known configuration; 0 if there is none
   * @param urgent whether the response is needed immediately, even if nothing is newer
   */
  PullRequest newRequest(
      WatchStream stream,
      WatchStream nearest,
      long configVersion,
      ServerListCache servers,
      boolean urgent,
      long nowMs) {
    PullRequest request = new PullRequest();
    StoreStatus status = storeStatus.get();
    request.machine = settings.machine();
    request.address = settings.rpcAddress();
    request.zone = settings.zone();
    request.role = role.wireName();
    request.instanceId = instanceId;
    request.voting = status.voting();
    request.drained = status.drained();
    request.jobStoreVoters = status.jobStoreVoters();
    request.configVersion = configVersion;
    request.serverListEpoch =
        wantsServerList(stream, nearest, servers.ageMs(nowMs)) ? servers.epoch() : AGE_ONLY_EPOCH;
    request.serverListVersion = servers.version();
    request.viewVersion = stream.viewVersion;
    request.maxWaitMs = urgent ? NO_WAIT_MS : LONG_POLL_MS;
    request.hasDisk = settings.dataDir() != null;
    request.demand = demand.get();
    return request;
  }

  /**
   * Whether the response should contain the complete server list. Traffic between zones is charged
   * for, and all control-plane nodes have the same list. A gateway therefore requests the list from
   * the nearest node and only the list's age from the others, as long as its list stays fresh.
   * Control-plane nodes request the list from all nodes, so that no two nodes wait for each other.
   * Stores send no requests to servers and need no list.
   */
  private boolean wantsServerList(WatchStream stream, WatchStream nearest, long listAgeMs) {
    return switch (role) {
      case STORE -> false;
      case CONTROL_PLANE -> true;
      case GATEWAY -> nearest == null || nearest == stream || listAgeMs > FRESH_LIST_AGE_MS;
    };
  }
}
