package elmsail.controlplane;

import elmsail.rpc.RpcClient;
import elmsail.rpc.RequestHandlers;
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
 * majority of the seeds agrees on one proposal, once ({@link FoundingAgreement}): the wanted number
 * of control-plane nodes with a disk, spread over the zones.
 */
final class ClusterBootstrap {
  private static final Logger LOG = LoggerFactory.getLogger(ClusterBootstrap.class);
  private static final long EVERY_MS = 100;
  private static final long TIMEOUT_MS = 400;
  private static final long SLOWEST_MS = 1_000;

  /** A process is told of so many seeds, or of fewer where there are no more. */
  private static final int MOST_SEEDS = 3;

  private final RpcClient caller;
  private final Timers timers;
  private final HelloRequest own;
  private final List<String> seeds;
  private final int voters;
  private final Supplier<VoterSet> voterSet;
  private final Consumer<VoterSet> learn;
  private final FoundingAgreement agreement;
  private final FoundingCandidates candidates;
  private final TreeMap<String, HelloResponse> seedInstances = new TreeMap<>();
  private boolean seedWithoutDisk;
  private long pause = EVERY_MS;
  private boolean decided;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param own what this process says of itself; {@code firstStart} only once that is on its disk,
   *     if it has one
   * @param records null where there is no disk
   * @param seeds inner addresses, this one's too if it is one of them
   * @param voters how many are wanted
   * @param voterSet as this process knows it now
   * @param learn takes the first voter set, or one that another knows
   */
  ClusterBootstrap(
      RpcClient caller,
      Timers timers,
      HelloRequest own,
      RecordStore records,
      List<String> seeds,
      int voters,
      Supplier<VoterSet> voterSet,
      Consumer<VoterSet> learn) {
    this.caller = caller;
    this.timers = timers;
    this.own = own;
    this.seeds = List.copyOf(new TreeSet<>(seeds));
    this.voters = voters;
    this.voterSet = voterSet;
    this.learn = learn;
    agreement =
        new FoundingAgreement(caller, timers, records, this.seeds, own.address, this::decided);
    candidates = new FoundingCandidates(voters, timers.now());
  }

  void start(RequestHandlers answering) {
    answering.register(
        HelloRequest.class,
        request -> {
          candidates.heard(request, timers.now());
          return CompletableFuture.completedFuture(response());
        });
    agreement.vote(answering, own.firstStart);
    request();
  }

  private HelloResponse response() {
    HelloResponse response = new HelloResponse();
    response.machine = own.machine;
    response.address = own.address;
    response.zone = own.zone;
    response.instanceId = own.instanceId;
    response.hasDisk = own.hasDisk;
    response.firstStart = own.firstStart;
    response.voterSet = voterSet.get();
    return response;
  }

  private boolean known() {
    return !voterSet.get().voters.isEmpty();
  }

  private void request() {
    if (closed || known()) {
      return;
    }
    candidates.heard(own, timers.now());
    for (String seed : seeds) {
      if (seed.equals(own.address)) {
        heard(seed, response());
      } else {
        caller
            .call(seed, own, HelloResponse.class, TIMEOUT_MS)
            .thenAccept(response -> heard(seed, response));
      }
    }
    found();
    if (!own.firstStart) {
      pause = Math.min(SLOWEST_MS, pause * 3 / 2);
    }
    timers.schedule(pause, this::request);
  }

  private void heard(String seed, HelloResponse response) {
    if (closed || known()) {
      return;
    }
    if (response.voterSet != null && !response.voterSet.voters.isEmpty()) {
      learn.accept(response.voterSet);
      return;
    }
    if (seed.equals(response.address)) {
      seedWithoutDisk |= !response.hasDisk;
      if (response.firstStart) {
        seedInstances.put(seed, response);
      }
    }
    found();
  }

  private void found() {
    if (closed || known() || !own.firstStart || !seeds.contains(own.address)) {
      return;
    }
    if (byAgreement()) {
      VoterSet proposal = candidates.proposal(timers.now());
      if (proposal != null) {
        agreement.propose(proposal);
      }
    } else if (seedInstances.size() == seeds.size()) {
      VoterSet first = new VoterSet();
      for (HelloResponse one : seedInstances.values()) {
        first.voters.add(VoterSetValue.slot(one.address, one.machine, one.instanceId, 1));
      }
      learn.accept(first);
    }
  }

  /** The same for all seeds, as neither their disks nor the settings change. */
  private boolean byAgreement() {
    return seedWithoutDisk || voters > seeds.size() && seeds.size() >= MOST_SEEDS;
  }

  private void decided(VoterSet first) {
    if (!closed && !decided) {
      decided = true;
      LOG.info("head is founded by agreement of the seeds: {} voters", first.voters.size());
      learn.accept(first);
    }
  }

  void close() {
    closed = true;
  }
}
