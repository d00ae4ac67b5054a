package elmsail.controlplane;

import elmsail.rpc.Caller;
import elmsail.rpc.RequestHandlers;
import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.HelloResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * How a control-plane node comes by the voter set of "head": it asks the seeds until one knows it,
 * or, at the first start of all, until all of them have told their lives; from these each computes
 * the same. A life that did not begin at the first start founds nothing, and nothing is founded
 * with it.
 */
final class ClusterBootstrap {
  private static final long EVERY_MS = 100;
  private static final long TIMEOUT_MS = 400;
  private static final long SLOWEST_MS = 1_000;

  private final Caller caller;
  private final Timers timers;
  private final HelloResponse own;
  private final List<String> seeds;
  private final Supplier<VoterSet> voterSet;
  private final Consumer<VoterSet> found;
  private final Consumer<VoterSet> learn;
  private final TreeMap<String, HelloResponse> instanceIds = new TreeMap<>();
  private long pause = EVERY_MS;
  private boolean founded;
  private boolean closed;

  /**
   * Makes one.
   *
   * @param own what this process says of itself; {@code firstStart} only once that is on its disk
   * @param seeds inner addresses, this one's too if it is one of them
   * @param voterSet as this process knows it now
   * @param found takes the first voter set, once
   * @param learn takes a voter set that another knows
   */
  ClusterBootstrap(
      Caller caller,
      Timers timers,
      HelloResponse own,
      List<String> seeds,
      Supplier<VoterSet> voterSet,
      Consumer<VoterSet> found,
      Consumer<VoterSet> learn) {
    this.caller = caller;
    this.timers = timers;
    this.own = own;
    this.seeds = List.copyOf(new TreeSet<>(seeds));
    this.voterSet = voterSet;
    this.found = found;
    this.learn = learn;
  }

  void start(RequestHandlers answering) {
    answering.on(HelloRequest.class, request -> CompletableFuture.completedFuture(response()));
    request();
  }

  private HelloResponse response() {
    HelloResponse response = new HelloResponse();
    response.station = own.station;
    response.address = own.address;
    response.instanceId = own.instanceId;
    response.firstStart = own.firstStart;
    response.voterSet = voterSet.get();
    return response;
  }

  private void request() {
    if (closed || !voterSet.get().voters.isEmpty()) {
      return;
    }
    HelloRequest request = new HelloRequest();
    request.station = own.station;
    request.address = own.address;
    for (String seed : seeds) {
      if (seed.equals(own.address)) {
        heard(seed, response());
      } else if (!instanceIds.containsKey(seed) || !own.firstStart) {
        caller
            .call(seed, request, HelloResponse.class, TIMEOUT_MS)
            .thenAccept(response -> heard(seed, response));
      }
    }
    if (!own.firstStart) {
      pause = Math.min(SLOWEST_MS, pause * 3 / 2);
    }
    timers.after(pause, this::request);
  }

  private void heard(String seed, HelloResponse response) {
    if (closed || founded || !voterSet.get().voters.isEmpty()) {
      return;
    }
    if (response.voterSet != null && !response.voterSet.voters.isEmpty()) {
      learn.accept(response.voterSet);
      return;
    }
    if (response.firstStart && seed.equals(response.address)) {
      instanceIds.put(seed, response);
    }
    if (own.firstStart && seeds.contains(own.address) && instanceIds.size() == seeds.size()) {
      VoterSet first = new VoterSet();
      for (HelloResponse one : instanceIds.values()) {
        first.voters.add(VoterSetValue.slot(one.address, one.station, one.instanceId, 1));
      }
      founded = true;
      found.accept(first);
    }
  }

  void close() {
    closed = true;
  }
}
