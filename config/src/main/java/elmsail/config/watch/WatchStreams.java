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
  static final long SILENT_MS = 5_000;

  private static final Logger LOG = LoggerFactory.getLogger(WatchStreams.class);

  /** A gateway asks so many; stores and control-plane nodes ask all voters, to be heard by all. */
  private static final int MOST_OF_GATEWAY = 3;

  private static final int MOST_REMEMBERED = 64;
  private static final long LATELY_MS = 1_500;
  private static final long CALL_MS = 1_800;
  private static final long PASSED_OVER_MS = 30_000;

  /** Takes an answer; false if a part of it could not be read. */
  interface Taker {
    boolean take(WatchStream stream, PullResponse response);
  }

  private final RpcClient caller;
  private final Timers timers;
  private final String station;
  private final String self;
  private final int most;
  private final List<String> seeds = new ArrayList<>();
  private final Function<WatchStream, PullRequest> asks;
  private final Taker taker;
  private final Map<String, WatchStream> streams = new LinkedHashMap<>();
  private final Map<String, Long> heardAt = new LinkedHashMap<>();
  private final Map<String, Long> passedOverUntil = new HashMap<>();
  private long lastHeardAt;
  private boolean closed;
  private long failures;

  WatchStreams(
      RpcClient caller,
      Timers timers,
      Settings settings,
      Function<WatchStream, PullRequest> asks,
      Taker taker) {
    this.caller = caller;
    this.timers = timers;
    this.asks = asks;
    this.taker = taker;
    station = settings.machine();
    self = settings.rpcAddress();
    most = settings.services().contains("counter") ? MOST_OF_GATEWAY : Integer.MAX_VALUE;
    seeds(settings);
    lastHeardAt = timers.now();
  }

  /** Takes these seeds in place of those before. */
  void seeds(Settings settings) {
    seeds.clear();
    for (String seed : settings.seeds()) {
      seeds.add(settings.controlPlaneRpcAddress(seed));
    }
  }

  /**
   * Those of the head's voter slots, or the seeds before they are known and while nobody answers.
   */
  void choose(VoterSet head) {
    if (closed) {
      return;
    }
    long now = timers.now();
    List<String> chosen = chosen(head, now);
    Iterator<WatchStream> open = streams.values().iterator();
    while (open.hasNext()) {
      WatchStream stream = open.next();
      if (!chosen.contains(stream.address)) {
        stream.close();
        open.remove();
      }
    }
    for (String address : chosen) {
      if (!streams.containsKey(address)) {
        WatchStream stream = new WatchStream(address, now);
        streams.put(address, stream);
        request(stream);
      }
    }
  }

  /**
   * The gateways that each control-plane node told last, but for those silent; empty if none was
   * heard lately.
   */
  List<List<String>> gateways() {
    List<List<String>> fresh = new ArrayList<>();
    for (WatchStream stream : streams.values()) {
      if (stream.heardAt >= 0 && timers.now() - stream.heardAt <= SILENT_MS) {
        fresh.add(stream.gateways);
      }
    }
    return fresh;
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
      int near = near(stream.address);
      if (stream.heardAt >= 0 && timers.now() - stream.heardAt <= LATELY_MS && near > most) {
        best = stream;
        most = near;
      }
    }
    return best;
  }

  /** How many parts of the ip, from its front, are the same. */
  private int near(String address) {
    int parts = 0;
    for (int i = 0; i < self.length() && i < address.length(); i++) {
      if (self.charAt(i) != address.charAt(i)) {
        break;
      }
      if (self.charAt(i) == '.' || self.charAt(i) == ':') {
        parts++;
      }
    }
    return parts;
  }

  long heardAgoMs(String address) {
    Long at = heardAt.get(address);
    return at == null ? Long.MAX_VALUE : timers.now() - at;
  }

  List<String> addresses() {
    return List.copyOf(streams.keySet());
  }

  long failures() {
    return failures;
  }

  void close() {
    closed = true;
    for (WatchStream stream : streams.values()) {
      stream.close();
    }
    streams.clear();
  }

  private List<String> chosen(VoterSet head, long now) {
    List<String> candidates = new ArrayList<>();
    for (Voter slot : head.voters) {
      candidates.add(slot.address);
    }
    if (candidates.isEmpty() || now - lastHeardAt > SILENT_MS) {
      candidates.addAll(seeds);
    }
    candidates.removeIf(address -> address.isEmpty() || address.equals(self));
    List<String> ranked = RendezvousHash.choose(station, candidates, candidates.size());
    passedOverUntil.keySet().retainAll(candidates);
    if (ranked.size() <= most) {
      return ranked;
    }
    List<String> first = new ArrayList<>(ranked.size());
    List<String> last = new ArrayList<>();
    for (String address : ranked) {
      (passedOver(address, now) ? last : first).add(address);
    }
    first.addAll(last);
    return first.subList(0, most);
  }

  private boolean passedOver(String address, long now) {
    WatchStream stream = streams.get(address);
    if (stream != null && now - stream.lastSign() > SILENT_MS) {
      passedOverUntil.put(address, now + PASSED_OVER_MS);
    }
    Long until = passedOverUntil.get(address);
    return until != null && now < until;
  }

  private void request(WatchStream stream) {
    if (closed || !stream.open) {
      return;
    }
    long askedAt = timers.now();
    stream.asked(askedAt);
    caller
        .call(stream.address, asks.apply(stream), PullResponse.class, CALL_MS)
        .whenComplete(
            (response, thrown) -> {
              if (closed || !stream.open) {
                return;
              }
              // A process that was frozen finds an answer that was true before that.
              boolean inTime = timers.now() - askedAt <= CALL_MS;
              boolean used = thrown == null && inTime && heard(stream, response);
              if (!used) {
                failures++;
              }
              if (!closed && stream.open) {
                stream.next =
                    timers.schedule(
                        used ? stream.afterAnswer(timers.now()) : stream.afterFailure(),
                        () -> request(stream));
              }
            });
  }

  private boolean heard(WatchStream stream, PullResponse response) {
    long now = timers.now();
    stream.heard(response, now);
    lastHeardAt = now;
    passedOverUntil.remove(stream.address);
    heardAt.remove(stream.address);
    heardAt.put(stream.address, now);
    if (heardAt.size() > MOST_REMEMBERED) {
      heardAt.remove(heardAt.keySet().iterator().next());
    }
    try {
      return taker.take(stream, response);
    } catch (RuntimeException e) {
      LOG.error("an answer of {} was not taken whole", stream.address, e);
      return false;
    }
  }
}
