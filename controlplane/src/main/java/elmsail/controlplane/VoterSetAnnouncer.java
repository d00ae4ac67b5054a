package elmsail.controlplane;

import elmsail.consensus.VoterSetSource;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.HelloResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Announces the control-plane voters from a voter to the control-plane nodes that may not know
 * them: nodes without a disk and nodes whose disk is lost know nothing but the seeds of their
 * settings, and none of these seeds may have kept the voter set.
 *
 * <p>A node that knows the voters pulls from each of them. Therefore only nodes that have not
 * pulled recently are called: the voters, this node's seeds and the nodes that pulled at any time
 * before. In calm nothing is sent. Runs on the event loop.
 */
final class VoterSetAnnouncer {
  private static final long INTERVAL_MS = 500;
  private static final long CALL_TIMEOUT_MS = 400;

  /** Twice the longest interval between two pulls of a node, and some delay. */
  private static final long RECENT_PULL_MS = 2_500;

  /** A node that does not answer is called at this interval at last. */
  private static final long MAX_RETRY_DELAY_MS = 4_000;

  private final RpcClient rpcClient;
  private final Timers timers;
  private final Supplier<Optional<HelloRequest>> helloFactory;
  private final VoterSetSource voterSetSource;
  private final KnownControlPlaneNodes knownNodes;
  private final String localAddress;
  private final Map<String, Retry> retries = new HashMap<>();
  private List<String> seeds;
  private boolean closed;

  /** When a node that did not answer is called again, and the delay after a further failure. */
  private record Retry(long dueAtMs, long nextDelayMs) {}

  /**
   * Creates an announcer that sends nothing before {@link #start}.
   *
   * @param helloFactory builds this node's hello with its voter set; empty while this node does not
   *     vote
   * @param voterSetSource learns the voter set of those that are called, if it is newer
   * @param seeds RPC addresses
   */
  VoterSetAnnouncer(
      RpcClient rpcClient,
      Timers timers,
      Supplier<Optional<HelloRequest>> helloFactory,
      VoterSetSource voterSetSource,
      KnownControlPlaneNodes knownNodes,
      String localAddress,
      List<String> seeds) {
    this.rpcClient = rpcClient;
    this.timers = timers;
    this.helloFactory = helloFactory;
    this.voterSetSource = voterSetSource;
    this.knownNodes = knownNodes;
    this.localAddress = localAddress;
    this.seeds = List.copyOf(seeds);
  }

  void start() {
    tick();
  }

  /** Replaces the seed addresses. */
  void setSeeds(List<String> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  private void tick() {
    if (closed) {
      return;
    }
    timers.schedule(INTERVAL_MS, this::tick);
    helloFactory.get().ifPresent(this::announce);
  }

  private void announce(HelloRequest hello) {
    SortedSet<String> targets = targets(hello.voterSet);
    retries.keySet().retainAll(targets);
    long nowMs = timers.now();
    for (String target : targets) {
      if (knownNodes.hasPulledWithin(target, RECENT_PULL_MS, nowMs)) {
        retries.remove(target);
      } else if (!retries.containsKey(target) || retries.get(target).dueAtMs() <= nowMs) {
        send(target, hello);
      }
    }
  }

  private SortedSet<String> targets(VoterSet voterSet) {
    SortedSet<String> targets = new TreeSet<>(knownNodes.addresses());
    targets.addAll(seeds);
    for (Voter voter : voterSet.voters) {
      targets.add(voter.address);
    }
    targets.remove(localAddress);
    targets.remove("");
    return targets;
  }

  private void send(String target, HelloRequest hello) {
    Retry previous = retries.get(target);
    long delayMs = previous == null ? INTERVAL_MS : previous.nextDelayMs();
    long nextDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * delayMs);
    retries.put(target, new Retry(timers.now() + delayMs, nextDelayMs));
    rpcClient
        .call(target, hello, HelloResponse.class, CALL_TIMEOUT_MS)
        .thenAccept(this::onResponse);
  }

  private void onResponse(HelloResponse response) {
    if (!closed && response.voterSet != null && !response.voterSet.voters.isEmpty()) {
      voterSetSource.learn(response.voterSet);
    }
  }

  void close() {
    closed = true;
  }
}
