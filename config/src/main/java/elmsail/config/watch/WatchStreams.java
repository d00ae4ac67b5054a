package elmsail.config.watch;

import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.PullRequest;
import elmsail.rpc.messages.PullResponse;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Settings;
import elmsail.runtime.Timers;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which control-plane nodes are asked, and the asking: one pull open at each. Times in ms. */
final class WatchStreams {
  /**
   * A control-plane node silent for so long gives way to another, and its word on the gateways is
   * forgotten.
   */
  static final long UNRESPONSIVE_MS = 5_000;

  private static final Logger LOG = LoggerFactory.getLogger(WatchStreams.class);

  /** A gateway asks so many; stores and control-plane nodes ask all voters, to be heard by all. */
  private static final int MAX_GATEWAY_STREAMS = 3;

  private static final int MAX_REMEMBERED_ADDRESSES = 64;
  private static final long RECENT_MS = 1_500;
  private static final long CALL_TIMEOUT_MS = 1_800;
  private static final long EJECTION_MS = 30_000;

  /** Takes an answer; false if a part of it could not be read. */
  interface ResponseHandler {
    boolean onResponse(WatchStream stream, PullResponse response);
  }

  private final RpcClient caller;
  private final Timers timers;
  private final String machine;
  private final String ownAddress;
  private final int maxStreams;
  private final List<String> seedAddresses = new ArrayList<>();
  private final Function<WatchStream, PullRequest> requestFactory;
  private final ResponseHandler responseHandler;
  private final Map<String, WatchStream> streams = new LinkedHashMap<>();
  private final Map<String, Long> lastResponseAtByAddress = new LinkedHashMap<>();
  private final Map<String, Long> ejectedUntilMs = new HashMap<>();
  private long lastResponseAtMs;
  private boolean closed;
  private long failedRequests;

  WatchStreams(
      RpcClient caller,
      Timers timers,
      Settings settings,
      Function<WatchStream, PullRequest> requestFactory,
      ResponseHandler responseHandler) {
    this.caller = caller;
    this.timers = timers;
    this.requestFactory = requestFactory;
    this.responseHandler = responseHandler;
    machine = settings.machine();
    ownAddress = settings.rpcAddress();
    maxStreams = settings.services().contains("counter") ? MAX_GATEWAY_STREAMS : Integer.MAX_VALUE;
    seedAddresses(settings);
    lastResponseAtMs = timers.now();
  }

  /** Takes these seeds in place of those before. */
  void seedAddresses(Settings settings) {
    seedAddresses.clear();
    for (String seed : settings.seeds()) {
      seedAddresses.add(settings.controlPlaneRpcAddress(seed));
    }
  }

  /**
   * Those of the head's voter slots, or the seeds before they are known and while nobody answers.
   */
  void selectUpstreams(VoterSet controlPlaneVoters) {
    if (closed) {
      return;
    }
    long nowMs = timers.now();
    List<String> selected = rankUpstreams(controlPlaneVoters, nowMs);
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

  /**
   * The gateways that each control-plane node told last, but for those silent; empty if none was
   * heard lately.
   */
  List<List<String>> recentGateways() {
    List<List<String>> lists = new ArrayList<>();
    for (WatchStream stream : streams.values()) {
      if (stream.lastResponseAtMs >= 0
          && timers.now() - stream.lastResponseAtMs <= UNRESPONSIVE_MS) {
        lists.add(stream.gateways);
      }
    }
    return lists;
  }

  /**
   * The stream that whole lists are best taken from, of those heard lately: by how much of the
   * address is this process's own (same machine, same net), then in their order. Null if none was
   * heard lately.
   */
  WatchStream nearest() {
    WatchStream best = null;
    int most = -1;
    for (WatchStream stream : streams.values()) {
      int sharedParts = sharedAddressParts(stream.address);
      if (stream.lastResponseAtMs >= 0
          && timers.now() - stream.lastResponseAtMs <= RECENT_MS
          && sharedParts > most) {
        best = stream;
        most = sharedParts;
      }
    }
    return best;
  }

  /** How many parts of the ip, from its front, are the same. */
  private int sharedAddressParts(String address) {
    int parts = 0;
    for (int i = 0; i < ownAddress.length() && i < address.length(); i++) {
      if (ownAddress.charAt(i) != address.charAt(i)) {
        break;
      }
      if (ownAddress.charAt(i) == '.' || ownAddress.charAt(i) == ':') {
        parts++;
      }
    }
    return parts;
  }

  long lastResponseAgeMs(String address) {
    Long responseAtMs = lastResponseAtByAddress.get(address);
    return responseAtMs == null ? Long.MAX_VALUE : timers.now() - responseAtMs;
  }

  List<String> addresses() {
    return List.copyOf(streams.keySet());
  }

  long failedRequests() {
    return failedRequests;
  }

  void close() {
    closed = true;
    for (WatchStream stream : streams.values()) {
      stream.close();
    }
    streams.clear();
  }

  private List<String> rankUpstreams(VoterSet controlPlaneVoters, long nowMs) {
    List<String> candidates = new ArrayList<>();
    for (Voter voter : controlPlaneVoters.voters) {
      candidates.add(voter.address);
    }
    if (candidates.isEmpty() || nowMs - lastResponseAtMs > UNRESPONSIVE_MS) {
      candidates.addAll(seedAddresses);
    }
    candidates.removeIf(address -> address.isEmpty() || address.equals(ownAddress));
    List<String> ranked = RendezvousHash.choose(machine, candidates, candidates.size());
    ejectedUntilMs.keySet().retainAll(candidates);
    if (ranked.size() <= maxStreams) {
      return ranked;
    }
    List<String> preferred = new ArrayList<>(ranked.size());
    List<String> ejected = new ArrayList<>();
    for (String address : ranked) {
      (isEjected(address, nowMs) ? ejected : preferred).add(address);
    }
    preferred.addAll(ejected);
    return preferred.subList(0, maxStreams);
  }

  private boolean isEjected(String address, long nowMs) {
    WatchStream stream = streams.get(address);
    if (stream != null && nowMs - stream.lastActivityAtMs() > UNRESPONSIVE_MS) {
      ejectedUntilMs.put(address, nowMs + EJECTION_MS);
    }
    Long untilMs = ejectedUntilMs.get(address);
    return untilMs != null && nowMs < untilMs;
  }

  private void sendRequest(WatchStream stream) {
    if (closed || !stream.open) {
      return;
    }
    long requestedAtMs = timers.now();
    stream.onRequest(requestedAtMs);
    caller
        .call(stream.address, requestFactory.apply(stream), PullResponse.class, CALL_TIMEOUT_MS)
        .whenComplete(
            (response, failure) -> {
              if (closed || !stream.open) {
                return;
              }
              // A process that was frozen finds an answer that was true before that.
              boolean inTime = timers.now() - requestedAtMs <= CALL_TIMEOUT_MS;
              boolean accepted = failure == null && inTime && onResponse(stream, response);
              if (!accepted) {
                failedRequests++;
              }
              if (!closed && stream.open) {
                stream.nextRequest =
                    timers.schedule(
                        accepted
                            ? stream.delayAfterResponseMs(timers.now())
                            : stream.delayAfterFailureMs(),
                        () -> sendRequest(stream));
              }
            });
  }

  private boolean onResponse(WatchStream stream, PullResponse response) {
    long nowMs = timers.now();
    stream.onResponse(response, nowMs);
    lastResponseAtMs = nowMs;
    ejectedUntilMs.remove(stream.address);
    lastResponseAtByAddress.remove(stream.address);
    lastResponseAtByAddress.put(stream.address, nowMs);
    if (lastResponseAtByAddress.size() > MAX_REMEMBERED_ADDRESSES) {
      lastResponseAtByAddress.remove(lastResponseAtByAddress.keySet().iterator().next());
    }
    try {
      return responseHandler.onResponse(stream, response);
    } catch (RuntimeException e) {
      LOG.error("an answer of {} was not taken whole", stream.address, e);
      return false;
    }
  }
}
