package elmsail.config.watch;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The watch streams of a process: one long poll at each selected control-plane node, repeated
 * immediately after a response and with a backoff after a failure. Owned by the event loop; all
 * times are ms of the steady clock.
 */
final class WatchStreams {
  private static final Logger LOG = LoggerFactory.getLogger(WatchStreams.class);

  private static final long RECENT_RESPONSE_MS = 1_500;
  private static final long CALL_TIMEOUT_MS = 1_800;

  /** Applies the responses. */
  interface ResponseHandler {
    /**
     * Applies one response.
     *
     * @param requestedAtMs when its request was sent
     * @return false if a part of the response could not be decoded
     */
    boolean onResponse(WatchStream stream, PullResponse response, long requestedAtMs);
  }

  private final RpcClient rpcClient;
  private final Timers timers;
  private final UpstreamSelector selector;
  private final Function<WatchStream, PullRequest> requestFactory;
  private final ResponseHandler responseHandler;
  private final Map<String, WatchStream> streams = new LinkedHashMap<>();
  private final LastResponseTimes lastResponses = new LastResponseTimes();
  private boolean closed;
  private long failedRequests;

  WatchStreams(
      RpcClient rpcClient,
      Timers timers,
      Settings settings,
      Function<WatchStream, PullRequest> requestFactory,
      ResponseHandler responseHandler) {
    this.rpcClient = rpcClient;
    this.timers = timers;
    this.requestFactory = requestFactory;
    this.responseHandler = responseHandler;
    selector = new UpstreamSelector(settings, timers.now());
  }

  /** Replaces the seed addresses; takes effect with the next selection. */
  void setSeeds(Settings settings) {
    selector.setSeeds(settings);
  }

  /**
   * Closes the streams to nodes that are no longer selected, and opens those that are missing.
   *
   * @param searching whether to watch all nodes for a while, because no current stream provides
   *     what this process needs
   */
  void selectUpstreams(VoterSet controlPlaneVoters, boolean searching) {
    if (closed) {
      return;
    }
    long nowMs = timers.now();
    if (searching) {
      selector.startSearch(nowMs);
    }
    List<String> selected = selector.select(controlPlaneVoters, streams, nowMs);
    Iterator<WatchStream> open = streams.values().iterator();
    while (open.hasNext()) {
      WatchStream stream = open.next();
      if (!selected.contains(stream.address)) {
        stream.close();
        open.remove();
      }
    }
    for (String address : selected) {
      if (!streams.containsKey(address)) {
        WatchStream stream = new WatchStream(address, nowMs);
        streams.put(address, stream);
        sendRequest(stream);
      }
    }
  }

  /** The gateways that each responsive node last reported; empty if no node is responsive. */
  List<List<String>> recentGateways() {
    List<List<String>> lists = new ArrayList<>();
    for (WatchStream stream : streams.values()) {
      if (hasRespondedWithin(stream, UpstreamSelector.UNRESPONSIVE_MS)) {
        lists.add(stream.gateways);
      }
    }
    return lists;
  }

  /**
   * The preferred stream for complete lists: the nearest node that responded recently, and the
   * first of equally near nodes. Null if no node responded recently.
   */
  WatchStream nearest() {
    WatchStream nearest = null;
    int bestProximity = -1;
    for (WatchStream stream : streams.values()) {
      int proximity = selector.proximity(stream.address);
      if (hasRespondedWithin(stream, RECENT_RESPONSE_MS) && proximity > bestProximity) {
        nearest = stream;
        bestProximity = proximity;
      }
    }
    return nearest;
  }

  private boolean hasRespondedWithin(WatchStream stream, long windowMs) {
    return stream.lastResponseAtMs >= 0 && timers.now() - stream.lastResponseAtMs <= windowMs;
  }

  /** Time since a node's last response in ms; Long.MAX_VALUE if none is known. */
  long lastResponseAgeMs(String address) {
    return lastResponses.ageMs(address, timers.now());
  }

  /** The addresses that are watched now. */
  List<String> addresses() {
    return List.copyOf(streams.keySet());
  }

  /** Number of requests that failed or whose response could not be used. */
  long failedRequests() {
    return failedRequests;
  }

  /** Closes all streams for good; responses that are still in flight are ignored. */
  void close() {
    closed = true;
    for (WatchStream stream : streams.values()) {
      stream.close();
    }
    streams.clear();
  }

  private void sendRequest(WatchStream stream) {
    if (isClosed(stream)) {
      return;
    }
    long requestedAtMs = timers.now();
    stream.onRequest(requestedAtMs);
    rpcClient
        .call(stream.address, requestFactory.apply(stream), PullResponse.class, CALL_TIMEOUT_MS)
        .whenComplete(
            (response, failure) -> {
              if (!isClosed(stream)) {
                onCallEnd(stream, requestedAtMs, response, failure);
              }
            });
  }

  private void onCallEnd(
      WatchStream stream, long requestedAtMs, PullResponse response, Throwable failure) {
    // A response that arrived while this process was suspended is outdated.
    boolean inTime = timers.now() - requestedAtMs <= CALL_TIMEOUT_MS;
    boolean accepted = failure == null && inTime && applyResponse(stream, response, requestedAtMs);
    if (!accepted) {
      failedRequests++;
    }
    if (isClosed(stream)) {
      return;
    }
    long delayMs =
        accepted ? stream.delayAfterResponseMs(timers.now()) : stream.delayAfterFailureMs();
    stream.nextRequest = timers.schedule(delayMs, () -> sendRequest(stream));
  }

  private boolean isClosed(WatchStream stream) {
    return closed || !stream.open;
  }

  private boolean applyResponse(WatchStream stream, PullResponse response, long requestedAtMs) {
    long nowMs = timers.now();
    stream.onResponse(response, nowMs);
    selector.onResponse(stream.address, nowMs);
    lastResponses.record(stream.address, nowMs);
    try {
      return responseHandler.onResponse(stream, response, requestedAtMs);
    } catch (RuntimeException e) {
      // A listener's exception must not end the stream: the next request follows after a backoff.
      LOG.error("watch response not applied, address={}", stream.address, e);
      return false;
    }
  }
}
