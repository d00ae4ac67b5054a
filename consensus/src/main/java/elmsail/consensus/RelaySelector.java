package elmsail.consensus;

import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.Timers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses the voter that relays a client's prepare requests to the others, and counts the bytes
 * that are being relayed. Runs on the client's event loop.
 */
final class RelaySelector {
  /** Prepare requests with fewer bytes of blobs are sent to each voter directly. */
  static final int MIN_RELAYED_BYTES = 16 << 10;

  /** How long a voter is avoided after it failed as a relay. */
  private static final long AVOID_MS = 3_000;

  private final Timers timers;

  /** The time until which a voter is avoided, by address; bounded by the number of voters. */
  private final Map<String, Long> avoidedUntilMs = new HashMap<>();

  /** The bytes of blobs in this client's relayed prepare requests that await a response. */
  private long bytesInFlight;

  RelaySelector(Timers timers) {
    this.timers = timers;
  }

  /**
   * The nearest voter that is not avoided.
   *
   * @param nearestFirst voter slots in order of distance
   * @return null if the prepare request is to be sent directly
   */
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

  /** The voter did not respond in time, or returned votes of less than a majority. */
  void onRelayFailed(Voter voter) {
    avoidedUntilMs.put(voter.address, timers.now() + AVOID_MS);
  }

  /** A relayed prepare request was sent; returns all bytes in flight, with this request's. */
  long onRelayStarted(long bytes) {
    bytesInFlight += bytes;
    return bytesInFlight;
  }

  /** The relay responded or failed. */
  void onRelayEnded(long bytes) {
    bytesInFlight -= bytes;
  }

  /** The total number of bytes of the blobs. */
  static long totalBytes(List<Blob> blobs) {
    long sum = 0;
    for (Blob blob : blobs) {
      sum += blob.bytes.length;
    }
    return sum;
  }
}
