package elmsail.consensus;

import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Which voter passes a client's first rounds on to the others. */
final class RelaySelector {
  /** Rounds with fewer bytes of blobs go to each voter directly. */
  static final int MIN_RELAYED_BYTES = 16 << 10;

  /** A voter that did not pass a round on is not asked to for so long. */
  private static final long AVOID_MS = 3_000;

  private final Timers timers;

  /** Until when each voter is avoided, by its address; few, as only voters come in. */
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();

  /** Bytes of this client's relayed rounds that share its link now. */
  private long bytesInFlight;

  RelaySelector(Timers timers) {
    this.timers = timers;
  }

  /** The nearest voter that may be asked, or null where the round is to go directly. */
  Voter select(VoterSet voterSet, int[] nearestFirst, List<Blob> blobs) {
    if (totalBytes(blobs) < MIN_RELAYED_BYTES) {
      return null;
    }
    long now = timers.now();
    avoidedUntilMs.values().removeIf(until -> until <= now);
    for (int slot : nearestFirst) {
      Voter voter = voterSet.voters.get(slot);
      if (VoterSets.isCounted(voterSet, slot) && !avoidedUntilMs.containsKey(voter.address)) {
        return voter;
      }
    }
    return null;
  }

  void onRelayFailed(Voter voter) {
    avoidedUntilMs.put(voter.address, timers.now() + AVOID_MS);
  }

  /** A relayed round of so many bytes begins; gives the bytes of all that are under way. */
  long onRelayStarted(long bytes) {
    bytesInFlight += bytes;
    return bytesInFlight;
  }

  /** It has ended, one way or another. */
  void onRelayEnded(long bytes) {
    bytesInFlight -= bytes;
  }

  static long totalBytes(List<Blob> blobs) {
    long sum = 0;
    for (Blob blob : blobs) {
      sum += blob.bytes.length;
    }
    return sum;
  }
}
