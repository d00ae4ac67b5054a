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
 * A store's part in the set "shelf": its slot is told by the control-plane nodes, and joined when
 * they say so.
 */
final class StoreNode {
  static final String VOTER_SET_NAME = "shelf";

  private final Replica replica;
  private final ConfigWatcher watcher;

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
    watcher =
        new ConfigWatcher(
            rpcClient,
            timers,
            settings,
            PeerRole.STORE,
            records.instanceId(),
            () -> new StoreStatus(replica.isVoting(), false, replica.voterSet()),
            null);
  }

  void start() {
    watcher.addListener(this::onClusterViewChanged);
    watcher.setJoinListener(replica::join);
    watcher.start();
  }

  private void onClusterViewChanged() {
    VoterSet jobStoreVoters = watcher.view().jobStoreVoters;
    if (jobStoreVoters.voters.isEmpty()) {
      return;
    }
    if (replica.voterSet().voters.isEmpty()) {
      replica.bootstrap(jobStoreVoters);
    }
    replica.learn(jobStoreVoters);
  }

  Replica replica() {
    return replica;
  }

  ConfigWatcher watcher() {
    return watcher;
  }

  void close() {
    watcher.close();
  }
}
