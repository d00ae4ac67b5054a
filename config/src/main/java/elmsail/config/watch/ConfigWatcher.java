package elmsail.config.watch;

import elmsail.config.ClusterState;
import elmsail.config.PlatformClient;
import elmsail.config.RoutingConfig;
import elmsail.config.RoutingConfigReader;
import elmsail.config.ServerEntry;
import elmsail.consensus.VoterSets;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Supplier;

/**
 * Holds a pull open at up to three control-plane nodes (stores and control-plane nodes at all that
 * vote) and keeps the newest that any of them told. Everything on the loop; {@code whenChanged}
 * runs inside the call that changed something.
 */
public final class ConfigWatcher implements ClusterState {
  private static final long WAIT_MS = 1_000;
  private static final long YOUNG_MS = 1_500;

  /** An epoch above all: nothing is newer. */
  private static final long NO_LIST = Long.MAX_VALUE;

  private static final long REVIEW_MS = 1_000;

  /** Told that this process shall claim a voter slot of the store set with an epoch. */
  public interface Claim {
    /** Take over that slot of the store set under that epoch; may be repeated. */
    void join(int slot, int epoch);
  }

  private final Timers timers;
  private final Settings settings;
  private final String role;
  private final long instanceId;
  private final Supplier<StoreStatus> store;
  private final DirectDiscovery fallback;
  private final WatchStreams streams;
  private final KnownServers servers = new KnownServers();
  private final List<Runnable> listeners = new ArrayList<>();
  private Claim join = (slot, epoch) -> {};
  private RoutingConfig config;
  private byte[] configBytes;
  private ClusterView view = new ClusterView();
  private Timers.Timer review;
  private long unreadable;

  /**
   * Asks nothing before {@code start}.
   *
   * @param role "gateway", "store" or "controlplane"
   * @param store what a store tells of itself, {@code StoreStatus.NONE} in others
   * @param platform for a gateway that hears no list in time; null: never asked
   */
  public ConfigWatcher(
      RpcClient caller,
      Timers timers,
      Settings settings,
      String role,
      long instanceId,
      Supplier<StoreStatus> store,
      PlatformClient platform) {
    this.timers = timers;
    this.settings = settings;
    this.role = role;
    this.instanceId = instanceId;
    this.store = store;
    streams =
        new WatchStreams(
            caller, timers, settings, this::request, (stream, response) -> heard(response));
    fallback =
        platform == null || settings.platform() == null || !role.equals("gateway")
            ? null
            : new DirectDiscovery(
                timers,
                platform,
                settings.platform().maxCallsPerSecond(),
                new Random(instanceId),
                this::listAgeMs,
                () -> view.gateways.size(),
                this::fetched);
  }

  /** Begins to ask, once. */
  public void start() {
    streams.choose(view.controlPlaneVoters);
    review = timers.schedule(REVIEW_MS, this::review);
    if (fallback != null) {
      fallback.start();
    }
  }

  /** Takes the seeds of the changed settings; all else stays as it was. */
  public void changed(Settings changed) {
    streams.seeds(changed);
    streams.choose(view.controlPlaneVoters);
  }

  /** Asks nothing more; what is known stays. */
  public void close() {
    if (review != null) {
      review.cancel();
    }
    if (fallback != null) {
      fallback.close();
    }
    streams.close();
  }

  /** Whoever shall claim a voter slot; called each time that a control-plane node says so. */
  public void whenJoinOrdered(Claim newClaim) {
    join = newClaim;
  }

  @Override
  public void whenChanged(Runnable then) {
    listeners.add(then);
  }

  @Override
  public RoutingConfig config() {
    return config;
  }

  /** As the operator sent it, null before the first. */
  public byte[] configBytes() {
    return configBytes;
  }

  @Override
  public List<ServerEntry> servers() {
    return servers.servers();
  }

  @Override
  public long listAgeMs() {
    return servers.ageMs(timers.now());
  }

  /** Epoch of the pulled list; 0 before the first. */
  public long listEpoch() {
    return servers.epoch();
  }

  /** Version of the pulled list within its epoch; 0 before the first. */
  public long listVersion() {
    return servers.version();
  }

  /** The pulled list as it came, null before the first. */
  public byte[] listBytes() {
    return servers.bytes();
  }

  /** When the pulled list was taken from the platform, steady ms; only where there are bytes. */
  public long listTakenAt() {
    return servers.pulledAt();
  }

  @Override
  public ClusterView view() {
    return view;
  }

  /**
   * How long ago the control-plane node at this inner address answered, in ms; Long.MAX_VALUE:
   * never in this instance.
   */
  public long heardAgoMs(String address) {
    return streams.heardAgoMs(address);
  }

  /** Inner addresses of the control-plane nodes that are asked now. */
  public List<String> asked() {
    return streams.addresses();
  }

  /** Asks that failed, and answers that could not be used. */
  public long failures() {
    return streams.failures();
  }

  /** Configurations and lists that came and could not be read. */
  public long unreadable() {
    return unreadable;
  }

  /**
   * A configuration that is decided, known by another way than a pull; passed over unless newer.
   */
  public void offerConfig(byte[] bytes) {
    if (takeConfig(bytes, RoutingConfigReader.read(bytes))) {
      tell();
    }
  }

  /** The list of this process itself, if it holds the duty; as {@code UpdateSources.setServers}. */
  public void offerServers(long epoch, long version, byte[] bytes, long takenAt) {
    if (servers.response(epoch, version, bytes, takenAt)) {
      tell();
    }
  }

  private void review() {
    streams.choose(view.controlPlaneVoters);
    if (take(view.controlPlaneVoters, view.jobStoreVoters)) {
      tell();
    }
    review = timers.schedule(REVIEW_MS, this::review);
  }

  private PullRequest request(WatchStream stream) {
    PullRequest request = new PullRequest();
    StoreStatus part = store.get();
    request.machine = settings.machine();
    request.address = settings.rpcAddress();
    request.zone = settings.zone();
    request.role = role;
    request.instanceId = instanceId;
    request.voting = part.voting();
    request.drained = part.emptied();
    request.jobStoreVoters = part.storeSet();
    request.configVersion = edition();
    request.serverListEpoch = wantsList(stream) ? servers.epoch() : NO_LIST;
    request.serverListVersion = servers.version();
    request.viewVersion = stream.viewVersion;
    request.maxWaitMs = WAIT_MS;
    request.hasDisk = settings.dataDir() != null;
    return request;
  }

  /**
   * Bytes between zones are priced, and three control-plane nodes have the same list: a gateway
   * takes it from the nearest while that keeps it young, and from the others its age only.
   * Control-plane nodes take it from all, so that no two wait for each other. Stores send no
   * requests to servers and take none.
   */
  private boolean wantsList(WatchStream stream) {
    if (!role.equals("gateway")) {
      return !role.equals("store");
    }
    WatchStream nearest = streams.nearest();
    return nearest == null || nearest == stream || listAgeMs() > YOUNG_MS;
  }

  /** False if a part could not be read; the other parts are taken all the same. */
  private boolean heard(PullResponse response) {
    long now = timers.now();
    boolean whole = true;
    boolean changed = false;
    if (response.config != null && response.configVersion > edition()) {
      try {
        changed = takeConfig(response.config, readAs(response.configVersion, response.config));
      } catch (ElmsailException e) {
        whole = false;
      }
    }
    if (response.serverListAgeMs >= 0) {
      try {
        changed |=
            servers.response(
                response.serverListEpoch,
                response.serverListVersion,
                response.servers,
                now - response.serverListAgeMs);
      } catch (ElmsailException e) {
        whole = false;
      }
    }
    unreadable += whole ? 0 : 1;
    if (response.view != null) {
      changed |= merge(response.view);
    }
    if (changed) {
      tell();
    }
    if (response.view != null && response.view.joinSlot >= 0) {
      join.join(response.view.joinSlot, response.view.joinEpoch);
    }
    return whole;
  }

  private long edition() {
    return config == null ? 0 : config.edition();
  }

  private static RoutingConfig readAs(long edition, byte[] bytes) {
    RoutingConfig read = RoutingConfigReader.read(bytes);
    if (read.edition() != edition) {
      throw new ElmsailException(
          ErrorCode.MALFORMED, "told edition " + edition + ", came " + read.edition());
    }
    return read;
  }

  private boolean takeConfig(byte[] bytes, RoutingConfig read) {
    if (read.edition() <= edition()) {
      return false;
    }
    config = read;
    configBytes = bytes;
    return true;
  }

  private boolean merge(ClusterView response) {
    return take(
        VoterSets.merge(view.controlPlaneVoters, response.controlPlaneVoters),
        VoterSets.merge(view.jobStoreVoters, response.jobStoreVoters));
  }

  /** Whether anything of the view is another now. */
  private boolean take(VoterSet head, VoterSet storeSet) {
    ClusterView merged = new ClusterView();
    merged.controlPlaneVoters = head;
    merged.jobStoreVoters = storeSet;
    List<List<String>> lists = streams.gateways();
    merged.gateways = lists.isEmpty() ? view.gateways : ClusterViews.union(lists);
    if (ClusterViews.same(view, merged)) {
      return false;
    }
    if (!VoterSets.areEqual(view.controlPlaneVoters, head)) {
      timers.execute(() -> streams.choose(view.controlPlaneVoters));
    }
    view = merged;
    return true;
  }

  private void fetched(List<ServerEntry> list, long takenAt) {
    if (servers.fetched(list, takenAt)) {
      tell();
    }
  }

  private void tell() {
    for (Runnable listener : List.copyOf(listeners)) {
      listener.run();
    }
  }
}
