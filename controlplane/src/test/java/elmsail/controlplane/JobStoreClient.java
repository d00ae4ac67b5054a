package elmsail.controlplane;

import elmsail.consensus.Register;
import elmsail.consensus.RegisterClient;
import elmsail.consensus.VoterSetSource;
import elmsail.consensus.VoterSets;
import elmsail.rpc.messages.VoterSet;
import elmsail.simulation.SimNode;
import java.util.Collection;
import java.util.function.Supplier;

/**
 * A client of the job stores' register on a machine of its own. Reads the voter set directly from
 * the given stores.
 */
final class JobStoreClient implements VoterSetSource {
  private static final String ADDRESS = "10.3.0.9:7720";
  private static final long PROPOSER_ID = 77;

  private final SimulatedCluster cluster;
  private final Supplier<Collection<String>> stores;
  private VoterSet known = new VoterSet();

  /** Creates a client that merges the voter sets of the supplied stores at each use. */
  JobStoreClient(SimulatedCluster cluster, Supplier<Collection<String>> stores) {
    this.cluster = cluster;
    this.stores = stores;
  }

  /** Starts the client's machine and returns its client of the register. */
  Register register() {
    SimNode node = cluster.net.startNode(ADDRESS);
    return new RegisterClient(
        StoreNode.VOTER_SET_NAME,
        node.rpcClient(),
        node.timers(),
        this,
        PROPOSER_ID,
        "",
        address -> 1);
  }

  @Override
  public VoterSet current() {
    for (String store : stores.get()) {
      learn(cluster.stores.get(store).replica().voterSet());
    }
    return known;
  }

  @Override
  public void learn(VoterSet newer) {
    known = VoterSets.merge(known, newer);
  }
}
