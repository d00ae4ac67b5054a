package elmsail.batch.client;

import elmsail.batch.BatchSettings;
import elmsail.config.ClusterState;
import elmsail.consensus.Register;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.Voter;
import elmsail.runtime.Invariants;
import elmsail.runtime.Timers;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;

/**
 * What the parts of one gateway's batch service share. Confined to the gateway's event loop.
 *
 * @param register of the voter set of the job stores
 */
public record BatchContext(
    Register register,
    RpcClient rpcClient,
    Timers timers,
    ClusterState clusterState,
    BatchSettings settings,
    Random random,
    BatchMetrics metrics) {

  /**
   * What became of a call to one store.
   *
   * @param message null if the store did not respond, or with a message of another kind
   */
  public record StoreResponse(Voter store, OpaqueMessage message) {
    /** Whether the store responded with a message of the kind that was requested. */
    public boolean isPresent() {
      return message != null;
    }
  }

  /** Counts down the responses of one call to several stores. */
  private static final class PendingResponses {
    private int remaining;
    private final Runnable onAllCompleted;

    PendingResponses(int remaining, Runnable onAllCompleted) {
      this.remaining = remaining;
      this.onAllCompleted = onAllCompleted;
    }

    void completed() {
      remaining--;
      if (remaining == 0) {
        onAllCompleted.run();
      }
    }
  }

  /** This gateway's RPC address. */
  public String localAddress() {
    return settings.localAddress();
  }

  /** The counters of this gateway's batch service. */
  public BatchCounters counters() {
    return metrics.counters();
  }

  /** The invariants that are checked here. */
  public Invariants invariants() {
    return metrics.invariants();
  }

  /** The voters of the job-store set, as far as it is known here; empty before it is known. */
  public List<Voter> stores() {
    return clusterState.view().jobStoreVoters.voters;
  }

  /**
   * The size of a majority of the stores; 1 if none is known, so that no quorum is ever reached.
   */
  public int majority() {
    return stores().size() / 2 + 1;
  }

  /**
   * Calls each of these stores.
   *
   * @param onResponse called once for each store, also if it did not respond
   * @param onAllCompleted called once after the last {@code onResponse}; never without stores
   */
  public void callEach(
      List<Voter> stores,
      OpaqueMessage request,
      long timeoutMs,
      Consumer<StoreResponse> onResponse,
      Runnable onAllCompleted) {
    PendingResponses pending = new PendingResponses(stores.size(), onAllCompleted);
    for (Voter store : stores) {
      rpcClient
          .call(store.address, request, OpaqueMessage.class, timeoutMs)
          .whenComplete(
              (response, failure) -> {
                boolean usable = failure == null && request.kind.equals(response.kind);
                onResponse.accept(new StoreResponse(store, usable ? response : null));
                pending.completed();
              });
    }
  }

  /** A random delay between half of this one and one and a half times it, in ms. */
  public long jittered(long ms) {
    return ms / 2 + (long) (random.nextDouble() * ms);
  }
}
