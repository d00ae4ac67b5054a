package elmsail.config.watch;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.rpc.messages.WallClockRequest;
import elmsail.rpc.messages.WallClockResponse;
import elmsail.runtime.Timers;
import elmsail.runtime.WallClock;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Feeds a {@link ClusterClock}: reads this machine's clock, and asks the control-plane voters for
 * theirs, often until the clock is agreed and seldom from then on. Runs on the event loop.
 */
public final class ClockExchange {
  private static final long FIRST_INTERVAL_MS = 1_000;
  private static final long INTERVAL_MS = 15_000;
  private static final long CALL_TIMEOUT_MS = 800;

  /** A response that took longer says too little about the present moment. */
  private static final long MAX_ROUND_TRIP_MS = 150;

  private static final String OWN_CLOCK = "";

  private final RpcClient rpcClient;
  private final Timers timers;
  private final WallClock ownClock;
  private final Supplier<VoterSet> voters;
  private final String ownAddress;
  private final ClusterClock clusterClock;
  private boolean closed;

  /**
   * Asks nobody before {@link #start}.
   *
   * @param voters of the control plane as this process knows them
   * @param ownAddress the RPC address of this process, which is not asked
   */
  public ClockExchange(
      RpcClient rpcClient,
      Timers timers,
      WallClock ownClock,
      Supplier<VoterSet> voters,
      String ownAddress) {
    this.rpcClient = rpcClient;
    this.timers = timers;
    this.ownClock = ownClock;
    this.voters = voters;
    this.ownAddress = ownAddress;
    clusterClock = new ClusterClock(timers);
  }

  /** Registers a control-plane node's side: it tells the time of day as its machine has it. */
  public static void registerHandler(RequestHandlers handlers, WallClock ownClock) {
    handlers.register(
        WallClockRequest.class,
        request -> {
          WallClockResponse response = new WallClockResponse();
          response.wallClockMs = ownClock.currentMs();
          return CompletableFuture.completedFuture(response);
        });
  }

  /** The clock that is fed. */
  public ClusterClock clusterClock() {
    return clusterClock;
  }

  /** Reads and asks now, and repeats that until closed. */
  public void start() {
    if (closed) {
      return;
    }
    timers.schedule(clusterClock.isAgreed() ? INTERVAL_MS : FIRST_INTERVAL_MS, this::start);
    clusterClock.onSample(OWN_CLOCK, ownClock.currentMs());
    List<Voter> knownVoters = voters.get().voters;
    if (knownVoters.size() == 1 && knownVoters.get(0).address.equals(ownAddress)) {
      clusterClock.acceptOwnClock();
    }
    for (Voter voter : knownVoters) {
      if (!voter.address.isEmpty() && !voter.address.equals(ownAddress)) {
        requestSample(voter.address);
      }
    }
  }

  private void requestSample(String address) {
    long sentAtMs = timers.now();
    rpcClient
        .call(address, new WallClockRequest(), WallClockResponse.class, CALL_TIMEOUT_MS)
        .thenAccept(
            response -> {
              long roundTripMs = timers.now() - sentAtMs;
              if (roundTripMs <= MAX_ROUND_TRIP_MS) {
                clusterClock.onSample(address, response.wallClockMs + roundTripMs / 2);
              }
            });
  }

  /** Asks no more; the clock goes on. */
  public void close() {
    closed = true;
  }
}
