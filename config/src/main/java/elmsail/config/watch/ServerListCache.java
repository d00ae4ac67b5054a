package elmsail.config.watch;

import elmsail.config.ServerEntry;
import elmsail.config.ServerListCodec;
import java.util.List;

/**
 * The list as pulled, by epoch and version, and beside it the list that this process fetched
 * itself: what was taken later counts. Pure; times in steady ms.
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

  long epoch() {
    return epoch;
  }

  long version() {
    return version;
  }

  /** The pulled list's, null before the first. */
  byte[] encoded() {
    return encoded;
  }

  /** When the pulled list was taken; only with {@code bytes}. */
  long watchedFetchedAtMs() {
    return watchedFetchedAtMs;
  }

  List<ServerEntry> servers() {
    return ownFetchedAtMs > watchedFetchedAtMs ? ownServers : watchedServers;
  }

  long ageMs(long now) {
    long fetchedAtMs = Math.max(ownFetchedAtMs, watchedFetchedAtMs);
    return fetchedAtMs == NEVER ? Long.MAX_VALUE : Math.max(0, now - fetchedAtMs);
  }

  /**
   * Takes a list that is told, or its age only (null). A lower version never comes back; the same
   * one only gets younger. Returns whether the servers changed. Fails with GARBLED, changing
   * nothing.
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

  /** Takes a list fetched by this process itself. Returns whether the servers changed. */
  boolean offerOwn(List<ServerEntry> newServers, long fetchedAtMs) {
    List<ServerEntry> before = servers();
    if (fetchedAtMs >= ownFetchedAtMs) {
      ownServers = newServers;
      ownFetchedAtMs = fetchedAtMs;
    }
    return !before.equals(servers());
  }
}
