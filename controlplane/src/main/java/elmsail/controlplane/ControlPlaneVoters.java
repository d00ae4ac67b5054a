package elmsail.controlplane;

import elmsail.consensus.Replica;
import elmsail.consensus.ReplicaIdentity;
import elmsail.consensus.ReplicaListener;
import elmsail.consensus.VoterSetSource;
import elmsail.consensus.VoterSets;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.util.ArrayList;
import java.util.List;

/**
 * This process's part in the set "head": a replica where it has a disk, just the knowledge where
 * not.
 */
final class ControlPlaneVoters implements VoterSetSource {
  static final String VOTER_SET_NAME = "head";

  /** Role of control-plane nodes in their pulls. */
  static final String ROLE = "controlplane";

  /** On disk: this instance began at the first start of the whole system. */
  private static final String FIRST_START_RECORD = "notary/born";

  private final Settings settings;
  private final Timers timers;
  private final RpcClient caller;
  private final RecordStore records;
  private final Replica replica;
  private final PullRequest heartbeat = new PullRequest();
  private ClusterBootstrap clusterBootstrap;
  private VoterSet learnedVoterSet = new VoterSet();
  private boolean isFromFirstStart;

  /**
   * Makes one.
   *
   * @param records null where this process has no disk: it has no vote
   * @param processId names this process among the candidates where it has no disk
   * @param metrics the process's figures and invariants
   */
  ControlPlaneVoters(
      Settings settings,
      Timers timers,
      RpcClient caller,
      RequestHandlers handlers,
      RecordStore records,
      long processId,
      ProcessMetrics metrics) {
    this.settings = settings;
    this.timers = timers;
    this.caller = caller;
    this.records = records;
    this.replica =
        records == null
            ? null
            : new Replica(
                new ReplicaIdentity(VOTER_SET_NAME, settings.rpcAddress(), settings.machine()),
                records,
                new ReplicaListener() {},
                handlers,
                caller,
                timers,
                metrics);
    this.isFromFirstStart =
        records != null && (settings.firstStart() || records.read(FIRST_START_RECORD) != null);
    heartbeat.role = ROLE;
    heartbeat.machine = settings.machine();
    heartbeat.address = settings.rpcAddress();
    heartbeat.zone = settings.zone();
    heartbeat.instanceId = records == null ? processId : records.instanceId();
    heartbeat.hasDisk = settings.dataDir() != null;
  }

  /** Answers the others only once it is on the disk whether this instance may found. */
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
    HelloRequest localHello = new HelloRequest();
    localHello.machine = settings.machine();
    localHello.address = settings.rpcAddress();
    localHello.zone = settings.zone();
    localHello.instanceId = records == null ? 0 : records.instanceId();
    localHello.hasDisk = records != null;
    localHello.firstStart = records == null ? settings.firstStart() : isFromFirstStart;
    List<String> seeds = new ArrayList<>();
    for (String seed : settings.seeds()) {
      seeds.add(settings.controlPlaneRpcAddress(seed));
    }
    clusterBootstrap =
        new ClusterBootstrap(
            caller,
            timers,
            localHello,
            records,
            seeds,
            2 * settings.toleratedMachineLosses() + 1,
            this::current,
            this::learn);
    clusterBootstrap.start(handlers);
  }

  /** Whether this instance, or the memory of this disk, began at the first start of all. */
  boolean isFromFirstStart() {
    return isFromFirstStart;
  }

  /** Whether this process votes now. */
  boolean isVoting() {
    return replica != null && replica.isVoting();
  }

  /** What this node would pull with at itself: it is a candidate as the others are. */
  PullRequest heartbeat() {
    heartbeat.voting = isVoting();
    return heartbeat;
  }

  /** Whether it holds a voter slot, voting or not yet. */
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

  /** Called each time that this process begins to vote in a slot that another instance held. */
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

  /** Takes over a slot as directed; nothing happens where there is no disk. */
  void join(int slot, int epoch) {
    if (replica != null) {
      replica.join(slot, epoch);
    }
  }

  void close() {
    if (clusterBootstrap != null) {
      clusterBootstrap.close();
    }
  }
}
