package elmsail.config.watch;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A network with 5 ms one-way latency between a watcher and control-plane nodes. Tests drop
 * messages and remove or replace nodes.
 */
final class FakeNetwork implements RpcClient {
  private static final long ONE_WAY_MS = 5;

  /** One request that the watcher sent. */
  record SentRequest(String peer, long sentAtMs, PullRequest request) {}

  final Map<String, Function<PullRequest, CompletableFuture<PullResponse>>> controlPlanes =
      new HashMap<>();

  /**
   * The age of the configuration that each node states in its responses; a node without an entry
   * states no age.
   */
  final Map<String, Long> configConfirmedAges = new HashMap<>();

  final Set<String> droppedRequests = new HashSet<>();
  final Set<String> droppedResponses = new HashSet<>();
  final List<SentRequest> requests = new ArrayList<>();
  private final ManualTimers timers;

  FakeNetwork(ManualTimers timers) {
    this.timers = timers;
  }

  WatchServer controlPlane(String address) {
    WatchServer server = new WatchServer(timers);
    controlPlanes.put(address, server::watch);
    return server;
  }

  private PullResponse withConfirmedAge(String peer, PullResponse response) {
    response.configConfirmedAgeMs = configConfirmedAges.getOrDefault(peer, -1L);
    return response;
  }

  List<Long> requestTimes(String peer) {
    List<Long> times = new ArrayList<>();
    for (SentRequest sent : requests) {
      if (sent.peer().equals(peer)) {
        times.add(sent.sentAtMs());
      }
    }
    return times;
  }

  PullRequest lastRequest(String peer) {
    PullRequest last = null;
    for (SentRequest sent : requests) {
      last = sent.peer().equals(peer) ? sent.request() : last;
    }
    return last;
  }

  @Override
  public <A> CompletableFuture<A> call(
      String peer, Object request, Class<A> responseType, long timeoutMs) {
    CompletableFuture<A> future = new CompletableFuture<>();
    requests.add(new SentRequest(peer, timers.now(), (PullRequest) request));
    timers.schedule(
        timeoutMs,
        () -> future.completeExceptionally(new ElmsailException(ErrorCode.TIMEOUT, peer)));
    if (droppedRequests.contains(peer)) {
      return future;
    }
    timers.schedule(
        ONE_WAY_MS,
        () -> {
          Function<PullRequest, CompletableFuture<PullResponse>> controlPlane =
              controlPlanes.get(peer);
          if (controlPlane == null) {
            future.completeExceptionally(new ElmsailException(ErrorCode.NOT_SENT, peer));
            return;
          }
          controlPlane
              .apply((PullRequest) request)
              .thenApply(response -> withConfirmedAge(peer, response))
              .thenAccept(
                  response ->
                      timers.schedule(
                          ONE_WAY_MS,
                          () -> {
                            if (!droppedResponses.contains(peer)) {
                              future.complete(responseType.cast(response));
                            }
                          }));
        });
    return future;
  }
}
