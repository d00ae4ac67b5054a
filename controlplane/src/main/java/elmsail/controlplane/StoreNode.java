package elmsail.controlplane;

import elmsail.config.watch.ConfigWatcher;
import elmsail.config.watch.StoreStatus;
import elmsail.consensus.Replica;
import elmsail.consensus.ReplicaListener;
import elmsail.rpc.Caller;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;

/**
 * A store's part in the set "shelf": its slot is response by the control-plane nodes, and joined
 * when they say so.
 */
final class StoreNode {
  static final String SET = "shelf";

  private final Replica keeper;
  private final ConfigWatcher puller;

  StoreNode(
      Settings settings,
      Timers timers,
      Caller caller,
      RequestHandlers answering,
      RecordStore records,
      ReplicaListener views) {
    keeper =
        new Replica(
            SET,
            records,
            views,
            answering,
            caller,
            timers,
            settings.innerAddress(),
            settings.station());
    puller =
        new ConfigWatcher(
            caller,
            timers,
            settings,
            "store",
            records.instanceId(),
            () -> new StoreStatus(keeper.voting(), false, keeper.voterSet()),
            null);
  }

  void start() {
    puller.whenChanged(this::learn);
    puller.whenJoinOrdered(keeper::join);
    puller.start();
  }

  private void learn() {
    VoterSet storeSet = puller.view().storeSet;
    if (storeSet.voters.isEmpty()) {
      return;
    }
    if (keeper.voterSet().voters.isEmpty()) {
      keeper.found(storeSet);
    }
    keeper.learn(storeSet);
  }

  Replica keeper() {
    return keeper;
  }

  ConfigWatcher puller() {
    return puller;
  }

  void close() {
    puller.close();
  }
}
