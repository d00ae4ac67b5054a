package elmsail.controlplane;

import elmsail.rpc.messages.HelloRequest;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The control-plane nodes that may be among the first voters of "head": those with a disk whose
 * instance began at the first start, heard lately. Pure; times are steady ms.
 */
final class FoundingCandidates {
  /** With fewer than wanted only after so long. */
  static final long FEWER_MS = 3_000;

  /** Others may still come for so long once there are enough: for more zones. */
  static final long SPREAD_MS = 300;

  private static final long FRESH_MS = 1_000;
  private static final int MOST = 1_000;

  private record Candidate(HelloRequest hello, long at) {}

  private final int voters;
  private final long start;
  private final TreeMap<String, Candidate> candidates = new TreeMap<>();
  private long enoughSince = Long.MAX_VALUE;

  /** Makes one that looks for so many voters, from now on. */
  FoundingCandidates(int voters, long now) {
    this.voters = voters;
    this.start = now;
  }

  void heard(HelloRequest hello, long now) {
    if (hello.hasDisk
        && hello.firstStart
        && hello.instanceId != 0
        && (candidates.containsKey(hello.address) || candidates.size() < MOST)) {
      candidates.put(hello.address, new Candidate(hello, now));
    }
  }

  /** The first voters to propose, or null as long as it is not time. */
  VoterSet proposal(long now) {
    List<HelloRequest> fresh = new ArrayList<>();
    for (Candidate candidate : candidates.values()) {
      if (now - candidate.at() <= FRESH_MS) {
        fresh.add(candidate.hello());
      }
    }
    boolean enough = fresh.size() >= voters;
    enoughSince = enough ? Math.min(enoughSince, now) : Long.MAX_VALUE;
    boolean due = enough ? now - enoughSince >= SPREAD_MS : now - start >= FEWER_MS;
    return due && !fresh.isEmpty() ? spread(fresh, size(fresh.size())) : null;
  }

  /** As many as wanted, or else the largest odd number: one more bears no more losses. */
  private int size(int available) {
    return available >= voters ? voters : available % 2 == 0 ? available - 1 : available;
  }

  /** In turn one of the zone that has the fewest yet; in the order of their addresses. */
  private static VoterSet spread(List<HelloRequest> fresh, int size) {
    Map<String, Integer> ofZone = new HashMap<>();
    List<HelloRequest> left = new ArrayList<>(fresh);
    TreeMap<String, Voter> chosen = new TreeMap<>();
    while (chosen.size() < size) {
      HelloRequest next = left.get(0);
      for (HelloRequest one : left) {
        if (ofZone.getOrDefault(one.zone, 0) < ofZone.getOrDefault(next.zone, 0)) {
          next = one;
        }
      }
      left.remove(next);
      ofZone.merge(next.zone, 1, Integer::sum);
      chosen.put(next.address, VoterSetValue.slot(next.address, next.machine, next.instanceId, 1));
    }
    VoterSet first = new VoterSet();
    first.voters.addAll(chosen.values());
    return first;
  }
}
