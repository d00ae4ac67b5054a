package elmsail.controlplane;

import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The control-plane nodes that may become initial voters: nodes with a disk whose instance took
 * part in the first start and which sent a hello recently. Does no I/O; times are in ms of the
 * monotonic clock. Runs on the event loop.
 */
final class BootstrapCandidates {
  /** A voter set below the target size is proposed only this long after the start. */
  static final long REDUCED_SET_AFTER_MS = 3_000;

  /**
   * Time to wait for more candidates once there are enough, so that the voters spread over more
   * zones.
   */
  static final long ZONE_SPREAD_WAIT_MS = 300;

  private static final long MAX_HELLO_AGE_MS = 1_000;
  private static final int MAX_CANDIDATES = 1_000;

  private record Candidate(HelloRequest hello, long receivedAtMs) {}

  private final int targetVoterCount;
  private final long startedAtMs;
  private final TreeMap<String, Candidate> candidates = new TreeMap<>();
  private long enoughSinceMs = Long.MAX_VALUE;

  /** Creates an empty set of candidates whose waiting times start at {@code now}. */
  BootstrapCandidates(int targetVoterCount, long now) {
    this.targetVoterCount = targetVoterCount;
    this.startedAtMs = now;
  }

  /** Records a node's hello if the node may become an initial voter. */
  void onHello(HelloRequest hello, long now) {
    if (hello.hasDisk
        && hello.firstStart
        && hello.instanceId != 0
        && (candidates.containsKey(hello.address) || candidates.size() < MAX_CANDIDATES)) {
      candidates.put(hello.address, new Candidate(hello, now));
    }
  }

  /** The voter set to propose; empty while it is too early to propose one. */
  Optional<VoterSet> proposal(long now) {
    List<HelloRequest> fresh = new ArrayList<>();
    for (Candidate candidate : candidates.values()) {
      if (now - candidate.receivedAtMs() <= MAX_HELLO_AGE_MS) {
        fresh.add(candidate.hello());
      }
    }
    boolean enough = fresh.size() >= targetVoterCount;
    enoughSinceMs = enough ? Math.min(enoughSinceMs, now) : Long.MAX_VALUE;
    boolean due =
        enough
            ? now - enoughSinceMs >= ZONE_SPREAD_WAIT_MS
            : now - startedAtMs >= REDUCED_SET_AFTER_MS;
    if (!due || fresh.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(spreadOverZones(fresh, setSize(fresh.size())));
  }

  /**
   * The target size, or else the largest odd size available: adding one voter to an odd set does
   * not increase the number of tolerated losses.
   */
  private int setSize(int available) {
    return available >= targetVoterCount
        ? targetVoterCount
        : available % 2 == 0 ? available - 1 : available;
  }

  /**
   * Repeatedly chooses a node of the zone with the fewest chosen nodes so far, in the order of
   * addresses.
   */
  private static VoterSet spreadOverZones(List<HelloRequest> fresh, int size) {
    Map<String, Integer> chosenPerZone = new HashMap<>();
    List<HelloRequest> remaining = new ArrayList<>(fresh);
    TreeMap<String, Voter> chosen = new TreeMap<>();
    while (chosen.size() < size) {
      HelloRequest next = remaining.get(0);
      for (HelloRequest candidate : remaining) {
        if (chosenPerZone.getOrDefault(candidate.zone, 0)
            < chosenPerZone.getOrDefault(next.zone, 0)) {
          next = candidate;
        }
      }
      remaining.remove(next);
      chosenPerZone.merge(next.zone, 1, Integer::sum);
      chosen.put(next.address, VoterSetValue.voter(next.address, next.machine, next.instanceId, 1));
    }
    VoterSet initialVoterSet = new VoterSet();
    initialVoterSet.voters.addAll(chosen.values());
    return initialVoterSet;
  }
}
