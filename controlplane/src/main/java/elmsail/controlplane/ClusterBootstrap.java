package elmsail.controlplane;

import elmsail.consensus.VoterSetSource;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.HelloResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Obtains the voter set of the control plane for a control-plane node. Polls the seeds until one of
 * them knows the voter set, until a voter announces it ({@link VoterSetAnnouncer}) or, at the first
 * start of the cluster, bootstraps the voter set together with the seeds. Instances that did not
 * take part in the first start neither bootstrap nor become initial voters. Runs on the event loop.
 *
 * <p>The seeds become the voters if all of them have disks and either there are enough of them for
 * the target number of voters or the cluster has no other control-plane nodes. Each seed then
 * computes the same voter set once it has the instance ids of all seeds. Otherwise a majority of
 * the seeds agrees once on one proposal ({@link BootstrapAgreement}): the target number of
 * control-plane nodes with a disk, spread over the zones.
 */
final class ClusterBootstrap {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterBootstrap.class);
  private static final long INITIAL_POLL_INTERVAL_MS = 100;
  private static final long HELLO_TIMEOUT_MS = 400;
  private static final long MAX_POLL_INTERVAL_MS = 1_000;

  /** The settings name this many seeds, or fewer if the cluster has fewer control-plane nodes. */
  private static final int MAX_SEEDS = 3;

  private final RpcClient rpcClient;
  private final Timers timers;
  private final HelloRequest localHello;
  private final List<String> seeds;
  private final int targetVoterCount;
  private final VoterSetSource voterSetSource;
  private final BootstrapAgreement agreement;
  private final BootstrapCandidates candidates;
  private final TreeMap<String, HelloResponse> seedHellos = new TreeMap<>();
  private boolean hasDisklessSeed;
  private long pollIntervalMs = INITIAL_POLL_INTERVAL_MS;
  private boolean agreed;
  private boolean closed;

  /**
   * Creates a bootstrap that sends nothing before {@link #start}.
   *
   * @param environment of this process
   * @param localHello the hello that this process sends; on a process with a disk, {@code
   *     firstStart} is set only after the first start was recorded on that disk
   * @param seeds RPC addresses of all seeds; if this process is a seed, they include its own
   *     address
   * @param voterSetSource the voter set as known to this process; receives the result
   */
  ClusterBootstrap(
      NodeEnvironment environment,
      HelloRequest localHello,
      List<String> seeds,
      VoterSetSource voterSetSource) {
    this.rpcClient = environment.rpcClient();
    this.timers = environment.timers();
    this.localHello = localHello;
    this.seeds = List.copyOf(new TreeSet<>(seeds));
    this.targetVoterCount = environment.targetVoterCount();
    this.voterSetSource = voterSetSource;
    agreement =
        new BootstrapAgreement(
            rpcClient,
            timers,
            environment.records(),
            this.seeds,
            localHello.address,
            environment.processId(),
            this::onAgreed);
    candidates = new BootstrapCandidates(targetVoterCount, timers.now());
  }

  /** Begins to poll the seeds and to answer the hellos of other nodes. */
  void start(RequestHandlers handlers) {
    handlers.register(
        HelloRequest.class,
        request -> {
          candidates.onHello(request, timers.now());
          learnAnnounced(request.voterSet);
          return CompletableFuture.completedFuture(localResponse());
        });
    agreement.registerVoteHandler(handlers, localHello.firstStart);
    pollSeeds();
  }

  /** Another node has announced its voter set; see {@link VoterSetAnnouncer}. */
  private void learnAnnounced(VoterSet announced) {
    if (!closed && announced != null && !announced.voters.isEmpty()) {
      voterSetSource.learn(announced);
    }
  }

  private HelloResponse localResponse() {
    HelloResponse response = new HelloResponse();
    response.machine = localHello.machine;
    response.address = localHello.address;
    response.zone = localHello.zone;
    response.instanceId = localHello.instanceId;
    response.hasDisk = localHello.hasDisk;
    response.firstStart = localHello.firstStart;
    response.voterSet = voterSetSource.current();
    return response;
  }

  private boolean isVoterSetKnown() {
    return !voterSetSource.current().voters.isEmpty();
  }

  private void pollSeeds() {
    if (closed || isVoterSetKnown()) {
      return;
    }
    candidates.onHello(localHello, timers.now());
    for (String seed : seeds) {
      if (seed.equals(localHello.address)) {
        onHelloResponse(seed, localResponse());
      } else {
        rpcClient
            .call(seed, localHello, HelloResponse.class, HELLO_TIMEOUT_MS)
            .thenAccept(response -> onHelloResponse(seed, response));
      }
    }
    tryBootstrap();
    if (!localHello.firstStart) {
      pollIntervalMs = Math.min(MAX_POLL_INTERVAL_MS, pollIntervalMs * 3 / 2);
    }
    timers.schedule(pollIntervalMs, this::pollSeeds);
  }

  private void onHelloResponse(String seed, HelloResponse response) {
    if (closed || isVoterSetKnown()) {
      return;
    }
    if (response.voterSet != null && !response.voterSet.voters.isEmpty()) {
      voterSetSource.learn(response.voterSet);
      return;
    }
    if (seed.equals(response.address)) {
      hasDisklessSeed |= !response.hasDisk;
      if (response.firstStart) {
        seedHellos.put(seed, response);
      }
    }
    tryBootstrap();
  }

  private void tryBootstrap() {
    if (closed
        || isVoterSetKnown()
        || !localHello.firstStart
        || !seeds.contains(localHello.address)) {
      return;
    }
    if (needsAgreement()) {
      candidates.proposal(timers.now()).ifPresent(agreement::propose);
    } else if (seedHellos.size() == seeds.size()) {
      VoterSet initialVoterSet = new VoterSet();
      for (HelloResponse seed : seedHellos.values()) {
        initialVoterSet.voters.add(
            VoterSetValue.voter(seed.address, seed.machine, seed.instanceId, 1));
      }
      voterSetSource.learn(initialVoterSet);
    }
  }

  /**
   * Whether the seeds must agree on a proposal. Once all seeds have responded, the result is the
   * same at all seeds and does not change.
   */
  private boolean needsAgreement() {
    return hasDisklessSeed || targetVoterCount > seeds.size() && seeds.size() >= MAX_SEEDS;
  }

  private void onAgreed(VoterSet initialVoterSet) {
    if (!closed && !agreed) {
      agreed = true;
      LOG.info(
          "the seeds have agreed on the initial control-plane voters: {} voters",
          initialVoterSet.voters.size());
      voterSetSource.learn(initialVoterSet);
    }
  }

  void close() {
    closed = true;
  }
}
