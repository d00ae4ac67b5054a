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
 * Links of 5 ms each way between a watcher and control-plane nodes that tests cut, end and replace.
 */
final class FakeNetwork implements RpcClient {
  private static final long ONE_WAY_MS = 5;

  /** One ask that left the watcher. */
  record Sent(String peer, long sentAtMs, PullRequest request) {}

  final Map<String, Function<PullRequest, CompletableFuture<PullResponse>>> controlPlanes =
      new HashMap<>();
  final Set<String> droppedRequests = new HashSet<>();
  final Set<String> droppedResponses = new HashSet<>();
  final List<Sent> sent = new ArrayList<>();
  private final ManualTimers timers;

  FakeNetwork(ManualTimers timers) {
    this.timers = timers;
  }

  WatchServer controlPlane(String address) {
    WatchServer sources = new WatchServer(timers);
    controlPlanes.put(address, sources::watch);
    return sources;
  }

  List<Long> requestTimes(String peer) {
    List<Long> times = new ArrayList<>();
    for (Sent one : sent) {
      if (one.peer().equals(peer)) {
        times.add(one.sentAtMs());
      }
    }
    return times;
  }

  PullRequest lastRequest(String peer) {
    PullRequest last = null;
    for (Sent one : sent) {
      last = one.peer().equals(peer) ? one.request() : last;
    }
    return last;
  }

  @Override
  public <A> CompletableFuture<A> call(
      String peer, Object request, Class<A> answer, long timeoutMs) {
    CompletableFuture<A> future = new CompletableFuture<>();
    sent.add(new Sent(peer, timers.now(), (PullRequest) request));
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
              .thenAccept(
                  response ->
                      timers.schedule(
                          ONE_WAY_MS,
                          () -> {
                            if (!droppedResponses.contains(peer)) {
                              future.complete(answer.cast(response));
                            }
                          }));
        });
    return future;
  }
}
