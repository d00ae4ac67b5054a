package elmsail.controlplane;

import elmsail.config.watch.PeerRole;
import elmsail.consensus.Replica;
import elmsail.consensus.ReplicaIdentity;
import elmsail.consensus.ReplicaListener;
import elmsail.consensus.VoterSetSource;
import elmsail.consensus.VoterSets;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Settings;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * This process's part in the control-plane voters, the voter set named "head" on the wire and on
 * disk: a replica if the process has a disk, else only the voter set learned from other nodes. Runs
 * on the event loop.
 */
final class ControlPlaneVoters implements VoterSetSource {
  static final String VOTER_SET_NAME = "head";

  /** Record on disk: this instance took part in the first start of the cluster. */
  private static final String FIRST_START_RECORD = "notary/born";

  private final NodeEnvironment environment;
  private final Settings settings;

  /** Null if this process has no disk; the replica and the known nodes are null then, too. */
  private final RecordStore records;

  private final Replica replica;
  private final PullRequest heartbeat = new PullRequest();
  private final KnownControlPlaneNodes knownNodes;
  private ClusterBootstrap clusterBootstrap;

  /** Null if this process has no disk: it then never votes. */
  private VoterSetAnnouncer announcer;

  private VoterSet learnedVoterSet = new VoterSet();
  private final boolean isFromFirstStart;

  /**
   * Creates an instance that answers no calls before {@link #start}, except those of its replica.
   *
   * @param environment of this process; without a disk it never votes
   */
  ControlPlaneVoters(NodeEnvironment environment) {
    this.environment = environment;
    this.settings = environment.settings();
    this.records = environment.records();
    this.replica = environment.hasDisk() ? createReplica(environment) : null;
    this.knownNodes = records == null ? null : new KnownControlPlaneNodes(records);
    this.isFromFirstStart =
        environment.hasDisk()
            && (settings.firstStart() || records.read(FIRST_START_RECORD) != null);
    heartbeat.role = PeerRole.CONTROL_PLANE.wireName();
    heartbeat.machine = settings.machine();
    heartbeat.address = settings.rpcAddress();
    heartbeat.zone = settings.zone();
    heartbeat.instanceId = environment.instanceId();
    heartbeat.hasDisk = settings.dataDir() != null;
  }

  private static Replica createReplica(NodeEnvironment environment) {
    return new Replica(
        new ReplicaIdentity(
            VOTER_SET_NAME, environment.localAddress(), environment.settings().machine()),
        environment.records(),
        new ReplicaListener() {},
        environment.handlers(),
        environment.rpcClient(),
        environment.timers(),
        environment.metrics());
  }

  /**
   * Begins to learn or to bootstrap the voter set. Other nodes are answered only once the disk
   * records that this instance took part in the first start, so that this instance can still
   * bootstrap after a restart.
   */
  void start(RequestHandlers handlers) {
    if (isFromFirstStart && records.read(FIRST_START_RECORD) == null) {
      records
          .write(List.of(new Change(FIRST_START_RECORD, new byte[] {1})))
          .thenRun(() -> startBootstrap(handlers));
    } else {
      startBootstrap(handlers);
    }
  }

  private void startBootstrap(RequestHandlers handlers) {
    List<String> seeds = seedAddresses(settings);
    clusterBootstrap = new ClusterBootstrap(environment, localHello(), seeds, this);
    clusterBootstrap.start(handlers);
    if (knownNodes != null) {
      announcer =
          new VoterSetAnnouncer(
              environment.rpcClient(),
              environment.timers(),
              this::announcement,
              this,
              knownNodes,
              settings.rpcAddress(),
              seeds);
      announcer.start();
    }
  }

  private static List<String> seedAddresses(Settings settings) {
    List<String> addresses = new ArrayList<>();
    for (String seed : settings.seeds()) {
      addresses.add(settings.controlPlaneRpcAddress(seed));
    }
    return addresses;
  }

  /** This node's hello with the voter set; empty while this node does not vote. */
  private Optional<HelloRequest> announcement() {
    if (!isVoting()) {
      return Optional.empty();
    }
    HelloRequest hello = localHello();
    hello.voterSet = current();
    return Optional.of(hello);
  }

  /** Records a pull from this node. */
  void onPull(PullRequest request) {
    if (knownNodes != null) {
      knownNodes.onPull(request, environment.timers().now());
    }
  }

  /** Announces the voter set to the new settings' seeds; all else stays as it was at the start. */
  void onSettingsChanged(Settings newSettings) {
    if (announcer != null) {
      announcer.setSeeds(seedAddresses(newSettings));
    }
  }

  private HelloRequest localHello() {
    HelloRequest hello = new HelloRequest();
    hello.machine = settings.machine();
    hello.address = settings.rpcAddress();
    hello.zone = settings.zone();
    hello.instanceId = records == null ? 0 : records.instanceId();
    hello.hasDisk = records != null;
    hello.firstStart = records == null ? settings.firstStart() : isFromFirstStart;
    return hello;
  }

  /** Whether the instance on this disk took part in the first start of the cluster. */
  boolean isFromFirstStart() {
    return isFromFirstStart;
  }

  /** Whether this process votes now. */
  boolean isVoting() {
    return replica != null && replica.isVoting();
  }

  /** The heartbeat that this node records for itself, because it sends no pulls to itself. */
  PullRequest heartbeat() {
    heartbeat.voting = isVoting();
    return heartbeat;
  }

  /** Whether this process holds a voter slot, even if it does not vote yet. */
  boolean holdsVoterSlot() {
    return replica != null && VoterSetValue.slotOf(current(), settings.rpcAddress()) >= 0;
  }

  @Override
  public VoterSet current() {
    return replica == null ? learnedVoterSet : replica.voterSet();
  }

  @Override
  public void learn(VoterSet newer) {
    if (replica == null) {
      learnedVoterSet = VoterSets.merge(learnedVoterSet, newer);
    } else if (VoterSets.merge(replica.voterSet(), newer) != replica.voterSet()) {
      replica.learn(newer);
    }
  }

  /** Calls the listener each time this process begins to vote in a slot that it took over. */
  void addTakeOverListener(Runnable listener) {
    if (replica != null) {
      replica.addVotingListener(
          () -> {
            int slot = VoterSetValue.slotOf(current(), settings.rpcAddress());
            if (replica.isVoting() && slot >= 0 && current().voters.get(slot).epoch > 1) {
              listener.run();
            }
          });
    }
  }

  /** Takes over the voter slot at the given epoch; does nothing if this process has no disk. */
  void join(int slot, int epoch) {
    if (replica != null) {
      replica.join(slot, epoch);
    }
  }

  void close() {
    if (clusterBootstrap != null) {
      clusterBootstrap.close();
    }
    if (announcer != null) {
      announcer.close();
    }
  }
}
