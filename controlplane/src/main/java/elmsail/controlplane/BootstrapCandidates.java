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
 * The control-plane nodes that may become initial voters: those with a disk whose instance took
 * part in the first start, and which sent a hello lately. Does no I/O; times are in ms of the
 * monotonic clock. Runs on the event loop.
 */
final class BootstrapCandidates {
  /** Fewer voters than the target are proposed only after so long. */
  static final long REDUCED_SET_AFTER_MS = 3_000;

  /** Once there are enough candidates, so long is waited for more, to spread over more zones. */
  static final long ZONE_SPREAD_WAIT_MS = 300;

  private static final long MAX_HELLO_AGE_MS = 1_000;
  private static final int MAX_CANDIDATES = 1_000;

  private record Candidate(HelloRequest hello, long receivedAtMs) {}

  private final int targetVoterCount;
  private final long startedAtMs;
  private final TreeMap<String, Candidate> candidates = new TreeMap<>();
  private long enoughSinceMs = Long.MAX_VALUE;

  /** Creates one without candidates that waits from now on. */
  BootstrapCandidates(int targetVoterCount, long now) {
    this.targetVoterCount = targetVoterCount;
    this.startedAtMs = now;
  }

  /** Notes a node's hello, if it may become an initial voter. */
  void onHello(HelloRequest hello, long now) {
    if (hello.hasDisk
        && hello.firstStart
        && hello.instanceId != 0
        && (candidates.containsKey(hello.address) || candidates.size() < MAX_CANDIDATES)) {
      candidates.put(hello.address, new Candidate(hello, now));
    }
  }

  /** The voter set to propose; empty as long as it is too early. */
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

  /** The target, or else the largest odd number: one more would tolerate no more losses. */
  private int setSize(int available) {
    return available >= targetVoterCount
        ? targetVoterCount
        : available % 2 == 0 ? available - 1 : available;
  }

  /** Chooses repeatedly from the zone with the fewest chosen so far, in the order of addresses. */
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
