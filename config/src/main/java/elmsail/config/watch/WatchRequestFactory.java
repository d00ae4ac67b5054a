package elmsail.config.watch;

import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.ServiceDemand;
import elmsail.runtime.Settings;
import java.util.List;
import java.util.function.Supplier;

/**
 * Builds the requests of the watch streams: who this process is, and which versions it has. Owned
 * by the event loop.
 */
final class WatchRequestFactory {
  private static final long LONG_POLL_MS = 1_000;
  private static final long NO_WAIT_MS = 0;
  private static final long FRESH_LIST_AGE_MS = 1_500;

  /** Sent in place of the known epoch: no list is newer, so the response brings its age alone. */
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

  /** Sets what a gateway reports of its open requests; read at each request. */
  void setDemandSource(Supplier<List<ServiceDemand>> newDemand) {
    demand = newDemand;
  }

  /**
   * The next request of a stream.
   *
   * @param nearest the stream that complete lists are best taken from; null if there is none
   * @param configVersion the version of the known configuration; 0 if there is none
   * @param urgent whether the response is needed at once, even if nothing is newer
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
   * Whether the response should bring the complete server list. Traffic between zones is charged
   * for and all control-plane nodes have the same list, so a gateway takes it from the nearest node
   * while that keeps it fresh, and only its age from the others. Control-plane nodes take it from
   * all, so that no two wait for each other. Stores send no requests to servers and take none.
   */
  private boolean wantsServerList(WatchStream stream, WatchStream nearest, long listAgeMs) {
    return switch (role) {
      case STORE -> false;
      case CONTROL_PLANE -> true;
      case GATEWAY -> nearest == null || nearest == stream || listAgeMs > FRESH_LIST_AGE_MS;
    };
  }
}
