package elmsail.config.watch;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Settings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Selects the control-plane nodes that a process watches. The candidates are the voters; the seed
 * addresses are candidates too before voters are known, while no node responds and during a search.
 * Rendezvous hashing ranks the candidates, and a gateway selects the first {@link
 * #MAX_GATEWAY_UPSTREAMS}. A node that has not responded for {@link #UNRESPONSIVE_MS} is ejected
 * for {@link #EJECTION_MS}: it is selected only if too few other candidates are left. During a
 * search, which lasts {@link #SEARCH_MS}, all candidates are selected and none is ejected. The
 * first selection after the search ejects the nodes that have not responded for {@link
 * #UNRESPONSIVE_MS}.
 *
 * <p>Owned by the event loop; all times are ms of the steady clock.
 */
final class UpstreamSelector {
  /**
   * A node that has not responded for this long is replaced, and the gateways that it reported
   * expire.
   */
  static final long UNRESPONSIVE_MS = 5_000;

  /** Stores and control-plane nodes watch all voters, so that each voter receives their status. */
  private static final int MAX_GATEWAY_UPSTREAMS = 3;

  private static final long EJECTION_MS = 30_000;

  /**
   * Longer than {@link #UNRESPONSIVE_MS}, so that the first selection after a search can eject the
   * nodes that did not respond during the search.
   */
  private static final long SEARCH_MS = 6_000;

  private static final String GATEWAY_SERVICE = "counter";

  private final String machine;
  private final String ownAddress;
  private final int maxUpstreams;
  private final List<String> seedAddresses = new ArrayList<>();
  private final Map<String, Long> ejectedUntilMs = new HashMap<>();
  private long lastResponseAtMs;
  private long searchUntilMs;

  /** Creates a selector that measures the time without any response from {@code nowMs} on. */
  UpstreamSelector(Settings settings, long nowMs) {
    machine = settings.machine();
    ownAddress = settings.rpcAddress();
    maxUpstreams =
        settings.services().contains(GATEWAY_SERVICE) ? MAX_GATEWAY_UPSTREAMS : Integer.MAX_VALUE;
    lastResponseAtMs = nowMs;
    searchUntilMs = nowMs;
    setSeeds(settings);
  }

  /** Replaces the seed addresses by those of the settings. */
  void setSeeds(Settings settings) {
    seedAddresses.clear();
    for (String seed : settings.seeds()) {
      seedAddresses.add(settings.controlPlaneRpcAddress(seed));
    }
  }

  /** Records that a node responded, which ends its ejection. */
  void onResponse(String address, long nowMs) {
    lastResponseAtMs = nowMs;
    ejectedUntilMs.remove(address);
  }

  /** Starts a search, which selects all candidates, including the seed addresses. */
  void startSearch(long nowMs) {
    searchUntilMs = nowMs + SEARCH_MS;
  }

  /**
   * The addresses to watch, in the order of preference.
   *
   * @param streams the open streams by address
   */
  List<String> select(VoterSet voters, Map<String, WatchStream> streams, long nowMs) {
    List<String> candidates = candidates(voters, nowMs);
    List<String> ranked = RendezvousHash.choose(machine, candidates, candidates.size());
    ejectedUntilMs.keySet().retainAll(candidates);
    if (ranked.size() <= maxUpstreams || nowMs < searchUntilMs) {
      return ranked;
    }
    List<String> preferred = new ArrayList<>(ranked.size());
    List<String> ejected = new ArrayList<>();
    for (String address : ranked) {
      (isEjected(address, streams.get(address), nowMs) ? ejected : preferred).add(address);
    }
    preferred.addAll(ejected);
    return preferred.subList(0, maxUpstreams);
  }

  private List<String> candidates(VoterSet voters, long nowMs) {
    List<String> candidates = new ArrayList<>();
    for (Voter voter : voters.voters) {
      candidates.add(voter.address);
    }
    if (candidates.isEmpty()
        || nowMs - lastResponseAtMs > UNRESPONSIVE_MS
        || nowMs < searchUntilMs) {
      candidates.addAll(seedAddresses);
    }
    candidates.removeIf(address -> address.isEmpty() || address.equals(ownAddress));
    return candidates;
  }

  private boolean isEjected(String address, WatchStream stream, long nowMs) {
    if (stream != null && nowMs - stream.lastActivityAtMs() > UNRESPONSIVE_MS) {
      ejectedUntilMs.put(address, nowMs + EJECTION_MS);
    }
    Long untilMs = ejectedUntilMs.get(address);
    return untilMs != null && nowMs < untilMs;
  }

  /**
   * The proximity of a node: the number of leading parts that its address has in common with the
   * address of this process. Nodes on the same machine or network are nearer than others.
   */
  int proximity(String address) {
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
}
