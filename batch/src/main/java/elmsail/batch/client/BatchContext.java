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
 * The dependencies shared by the components of one gateway's batch service. Confined to the
 * gateway's event loop.
 *
 * @param register the register replicated by the voter set of the job stores
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
   * The outcome of a call to one store.
   *
   * @param message the response; null if the store did not respond or responded with a message of
   *     another kind
   */
  public record StoreResponse(Voter store, OpaqueMessage message) {
    /** Whether the store responded with a message of the kind that was requested. */
    public boolean isPresent() {
      return message != null;
    }
  }

  /** Counts the outstanding responses of one call to several stores. */
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

  /** The invariants that this gateway's batch service checks. */
  public Invariants invariants() {
    return metrics.invariants();
  }

  /** The known voters of the job-store set; empty until this gateway has received the set. */
  public List<Voter> stores() {
    return clusterState.view().jobStoreVoters.voters;
  }

  /**
   * The size of a majority of the stores. It is 1 if no store is known, so that no quorum can be
   * reached.
   */
  public int majority() {
    return stores().size() / 2 + 1;
  }

  /**
   * Calls each of these stores in parallel.
   *
   * @param onResponse called once for each store, even if the store did not respond
   * @param onAllCompleted called once after the last {@code onResponse}; never called if the list
   *     of stores is empty
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

  /** A random delay between 0.5 and 1.5 times the given delay, in ms. */
  public long jittered(long ms) {
    return ms / 2 + (long) (random.nextDouble() * ms);
  }
}
