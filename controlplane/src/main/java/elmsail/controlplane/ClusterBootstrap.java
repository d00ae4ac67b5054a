package elmsail.controlplane;

import elmsail.rpc.RequestHandlers;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.HelloResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import elmsail.storage.RecordStore;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * How a control-plane node comes by the voter set of "head": it asks the seeds until one knows it,
 * or, at the first start of all, helps to found it. An instance that did not begin at the first
 * start founds nothing, and is in no founding.
 *
 * <p>Where the seeds all have disks and are as many as the wanted voters (or all that there are),
 * they are the voters: each seed computes the same once all have told their instances. Otherwise a
 * majority of the seeds agrees on one proposal, once ({@link BootstrapAgreement}): the wanted
 * number of control-plane nodes with a disk, spread over the zones.
 */
final class ClusterBootstrap {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterBootstrap.class);
  private static final long INITIAL_POLL_INTERVAL_MS = 100;
  private static final long HELLO_TIMEOUT_MS = 400;
  private static final long MAX_POLL_INTERVAL_MS = 1_000;

  /** A process is told of so many seeds, or of fewer where there are no more. */
  private static final int MAX_SEEDS = 3;

  private final RpcClient caller;
  private final Timers timers;
  private final HelloRequest localHello;
  private final List<String> seeds;
  private final int targetVoterCount;
  private final Supplier<VoterSet> voterSet;
  private final Consumer<VoterSet> voterSetListener;
  private final BootstrapAgreement agreement;
  private final BootstrapCandidates candidates;
  private final TreeMap<String, HelloResponse> seedHellos = new TreeMap<>();
  private boolean hasDisklessSeed;
  private long pollIntervalMs = INITIAL_POLL_INTERVAL_MS;
  private boolean onAgreed;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param localHello what this process says of itself; {@code firstStart} only once that is on its
   *     disk, if it has one
   * @param records null where there is no disk
   * @param seeds inner addresses, this one's too if it is one of them
   * @param targetVoterCount how many are wanted
   * @param voterSet as this process knows it now
   * @param voterSetListener takes the first voter set, or one that another knows
   */
  ClusterBootstrap(
      RpcClient caller,
      Timers timers,
      HelloRequest localHello,
      RecordStore records,
      List<String> seeds,
      int targetVoterCount,
      Supplier<VoterSet> voterSet,
      Consumer<VoterSet> voterSetListener) {
    this.caller = caller;
    this.timers = timers;
    this.localHello = localHello;
    this.seeds = List.copyOf(new TreeSet<>(seeds));
    this.targetVoterCount = targetVoterCount;
    this.voterSet = voterSet;
    this.voterSetListener = voterSetListener;
    agreement =
        new BootstrapAgreement(
            caller, timers, records, this.seeds, localHello.address, this::onAgreed);
    candidates = new BootstrapCandidates(targetVoterCount, timers.now());
  }

  void start(RequestHandlers handlers) {
    handlers.register(
        HelloRequest.class,
        request -> {
          candidates.onHello(request, timers.now());
          return CompletableFuture.completedFuture(localResponse());
        });
    agreement.registerVoteHandler(handlers, localHello.firstStart);
    pollSeeds();
  }

  private HelloResponse localResponse() {
    HelloResponse response = new HelloResponse();
    response.machine = localHello.machine;
    response.address = localHello.address;
    response.zone = localHello.zone;
    response.instanceId = localHello.instanceId;
    response.hasDisk = localHello.hasDisk;
    response.firstStart = localHello.firstStart;
    response.voterSet = voterSet.get();
    return response;
  }

  private boolean isVoterSetKnown() {
    return !voterSet.get().voters.isEmpty();
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
        caller
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
      voterSetListener.accept(response.voterSet);
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
      VoterSet proposal = candidates.proposal(timers.now());
      if (proposal != null) {
        agreement.propose(proposal);
      }
    } else if (seedHellos.size() == seeds.size()) {
      VoterSet initialVoterSet = new VoterSet();
      for (HelloResponse seed : seedHellos.values()) {
        initialVoterSet.voters.add(
            VoterSetValue.voter(seed.address, seed.machine, seed.instanceId, 1));
      }
      voterSetListener.accept(initialVoterSet);
    }
  }

  /** The same for all seeds, as neither their disks nor the settings change. */
  private boolean needsAgreement() {
    return hasDisklessSeed || targetVoterCount > seeds.size() && seeds.size() >= MAX_SEEDS;
  }

  private void onAgreed(VoterSet initialVoterSet) {
    if (!closed && !onAgreed) {
      onAgreed = true;
      LOG.info(
          "head is founded by agreement of the seeds: {} voters", initialVoterSet.voters.size());
      voterSetListener.accept(initialVoterSet);
    }
  }

  void close() {
    closed = true;
  }
}
