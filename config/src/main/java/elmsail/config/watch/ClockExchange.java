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
 * Supplies a {@link ClusterClock} with samples of this machine's clock and of the clocks of the
 * control-plane voters: every second until the sources agree, and every 15 s from then on. Runs on
 * the event loop.
 */
public final class ClockExchange {
  private static final long FIRST_INTERVAL_MS = 1_000;
  private static final long INTERVAL_MS = 15_000;
  private static final long CALL_TIMEOUT_MS = 800;

  /** Samples with a longer round trip are discarded: the sampled time would be too inaccurate. */
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
   * Creates an exchange that sends nothing before {@link #start}.
   *
   * @param voters supplies the control-plane voters that this process knows
   * @param ownAddress the RPC address of this process, to which it sends no requests
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

  /**
   * Registers a control-plane node's request handler, which returns the time of day of its machine.
   */
  public static void registerHandler(RequestHandlers handlers, WallClock ownClock) {
    handlers.register(
        WallClockRequest.class,
        request -> {
          WallClockResponse response = new WallClockResponse();
          response.wallClockMs = ownClock.currentMs();
          return CompletableFuture.completedFuture(response);
        });
  }

  /** The clock that receives the samples. */
  public ClusterClock clusterClock() {
    return clusterClock;
  }

  /** Samples all clocks now, and periodically until this exchange is closed. */
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

  /** Stops the sampling; the cluster clock remains usable. */
  public void close() {
    closed = true;
  }
}
