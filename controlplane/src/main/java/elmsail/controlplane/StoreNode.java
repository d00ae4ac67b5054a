package elmsail.controlplane;

import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.StoreStatus;
import elmsail.consensus.Replica;
import elmsail.consensus.ReplicaListener;
import elmsail.rpc.RpcClient;
import elmsail.rpc.RequestHandlers;
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
  static final String SET = "shelf";

  private final Replica replica;
  private final ConfigWatcher watcher;

  StoreNode(
      Settings settings,
      Timers timers,
      RpcClient caller,
      RequestHandlers answering,
      RecordStore records,
      ReplicaListener views,
      ProcessMetrics metrics) {
    replica =
        new Replica(
            SET,
            records,
            views,
            answering,
            caller,
            timers,
            settings.rpcAddress(),
            settings.machine(),
            metrics);
    watcher =
        new ConfigWatcher(
            caller,
            timers,
            settings,
            "store",
            records.instanceId(),
            () -> new StoreStatus(replica.isVoting(), false, replica.voterSet()),
            null);
  }

  void start() {
    watcher.addListener(this::learn);
    watcher.setJoinListener(replica::join);
    watcher.start();
  }

  private void learn() {
    VoterSet storeSet = watcher.view().jobStoreVoters;
    if (storeSet.voters.isEmpty()) {
      return;
    }
    if (replica.voterSet().voters.isEmpty()) {
      replica.bootstrap(storeSet);
    }
    replica.learn(storeSet);
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
