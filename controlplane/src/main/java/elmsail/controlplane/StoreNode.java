package elmsail.controlplane;

import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.PeerRole;
import elmsail.config.watch.StoreStatus;
import elmsail.consensus.Replica;
import elmsail.consensus.ReplicaIdentity;
import elmsail.consensus.ReplicaListener;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;

/**
 * A store's part in the job-store voters, the voter set named "shelf" on the wire and on disk: a
 * replica, which learns the voter set from the control-plane nodes and joins the slot that they
 * assign to it. Runs on the event loop.
 */
final class StoreNode {
  static final String VOTER_SET_NAME = "shelf";

  private final Replica replica;
  private final ConfigWatcher configWatcher;

  /**
   * Creates a store that pulls nothing before {@link #start()}.
   *
   * @param records on this store's disk; not null
   * @param replicaListener notified of the replica's records
   */
  StoreNode(
      Settings settings,
      Timers timers,
      RpcClient rpcClient,
      RequestHandlers handlers,
      RecordStore records,
      ReplicaListener replicaListener,
      ProcessMetrics metrics) {
    replica =
        new Replica(
            new ReplicaIdentity(VOTER_SET_NAME, settings.rpcAddress(), settings.machine()),
            records,
            replicaListener,
            handlers,
            rpcClient,
            timers,
            metrics);
    configWatcher =
        new ConfigWatcher(
            rpcClient,
            timers,
            settings,
            PeerRole.STORE,
            records.instanceId(),
            () -> new StoreStatus(replica.isVoting(), false, replica.voterSet()),
            null);
  }

  /** Begins to watch the control-plane nodes. */
  void start() {
    configWatcher.addListener(this::onClusterViewChanged);
    configWatcher.setJoinListener(replica::join);
    configWatcher.start();
  }

  private void onClusterViewChanged() {
    VoterSet jobStoreVoters = configWatcher.view().jobStoreVoters;
    if (jobStoreVoters.voters.isEmpty()) {
      return;
    }
    if (replica.voterSet().voters.isEmpty()) {
      replica.bootstrap(jobStoreVoters);
    }
    replica.learn(jobStoreVoters);
  }

  /** Adopts the seed addresses of the new settings. */
  void onSettingsChanged(Settings settings) {
    configWatcher.onSettingsChanged(settings);
  }

  Replica replica() {
    return replica;
  }

  ConfigWatcher configWatcher() {
    return configWatcher;
  }

  void close() {
    configWatcher.close();
  }
}
