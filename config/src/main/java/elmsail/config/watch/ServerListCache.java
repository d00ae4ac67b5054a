package elmsail.config.watch;

import elmsail.config.ServerEntry;
import elmsail.config.ServerListCodec;
import java.util.List;

/**
 * The server lists that a process has: the watched list, which control-plane nodes send and which
 * is ordered by epoch and version, and the list that the process fetched directly from the
 * platform. The list that was fetched later is in use. Owned by the event loop; all times are ms of
 * the steady clock.
 */
final class ServerListCache {
  private static final long NEVER = Long.MIN_VALUE;

  private long epoch;
  private long version;
  private byte[] encoded;
  private List<ServerEntry> watchedServers = List.of();
  private long watchedFetchedAtMs = NEVER;
  private List<ServerEntry> ownServers = List.of();
  private long ownFetchedAtMs = NEVER;

  /** Epoch of the watched list; 0 before the first. */
  long epoch() {
    return epoch;
  }

  /** Version of the watched list within its epoch; 0 before the first. */
  long version() {
    return version;
  }

  /** The watched list as it was received; null before the first. */
  byte[] encoded() {
    return encoded;
  }

  /** When the watched list was fetched; defined only if {@link #encoded} is not null. */
  long watchedFetchedAtMs() {
    return watchedFetchedAtMs;
  }

  /** The servers of the list in use; empty before the first list. */
  List<ServerEntry> servers() {
    return ownFetchedAtMs > watchedFetchedAtMs ? ownServers : watchedServers;
  }

  /** The age of the list in use, in ms; Long.MAX_VALUE before the first. */
  long ageMs(long nowMs) {
    long fetchedAtMs = Math.max(ownFetchedAtMs, watchedFetchedAtMs);
    return fetchedAtMs == NEVER ? Long.MAX_VALUE : Math.max(0, nowMs - fetchedAtMs);
  }

  /**
   * Offers a watched list. A list with a lower epoch or version is ignored; the same version only
   * refreshes the age.
   *
   * @param newEncoded the list encoded by {@code ServerListCodec.encode}; null if the update
   *     contains only the age
   * @return whether the servers in use changed
   * @throws elmsail.runtime.ElmsailException MALFORMED if the list cannot be decoded; the cache
   *     then stays unchanged
   */
  boolean offerWatched(long newEpoch, long newVersion, byte[] newEncoded, long fetchedAtMs) {
    List<ServerEntry> before = servers();
    int order =
        newEpoch != epoch ? Long.compare(newEpoch, epoch) : Long.compare(newVersion, version);
    if (encoded != null && order == 0) {
      watchedFetchedAtMs = Math.max(watchedFetchedAtMs, fetchedAtMs);
    } else if (newEncoded != null && (encoded == null || order > 0)) {
      watchedServers = ServerListCodec.decode(newEncoded);
      encoded = newEncoded;
      epoch = newEpoch;
      version = newVersion;
      watchedFetchedAtMs = fetchedAtMs;
    }
    return !before.equals(servers());
  }

  /**
   * Offers a list that this process fetched itself; ignored if a previously offered list was
   * fetched later.
   *
   * @return whether the servers in use changed
   */
  boolean offerOwn(List<ServerEntry> newServers, long fetchedAtMs) {
    List<ServerEntry> before = servers();
    if (fetchedAtMs >= ownFetchedAtMs) {
      ownServers = newServers;
      ownFetchedAtMs = fetchedAtMs;
    }
    return !before.equals(servers());
  }
}
