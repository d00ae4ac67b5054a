package elmsail.config.watch;

import elmsail.config.ServerEntry;
import elmsail.config.ServerList;
import java.util.List;

/**
 * The list as pulled, by epoch and version, and beside it the list that this process fetched
 * itself: what was taken later counts. Pure; times in steady ms.
 */
final class KnownServers {
  private static final long NEVER = Long.MIN_VALUE;

  private long epoch;
  private long version;
  private byte[] bytes;
  private List<ServerEntry> pulled = List.of();
  private long pulledAt = NEVER;
  private List<ServerEntry> own = List.of();
  private long ownAt = NEVER;

  long epoch() {
    return epoch;
  }

  long version() {
    return version;
  }

  /** The pulled list's, null before the first. */
  byte[] bytes() {
    return bytes;
  }

  /** When the pulled list was taken; only with {@code bytes}. */
  long pulledAt() {
    return pulledAt;
  }

  List<ServerEntry> servers() {
    return ownAt > pulledAt ? own : pulled;
  }

  long ageMs(long now) {
    long at = Math.max(ownAt, pulledAt);
    return at == NEVER ? Long.MAX_VALUE : Math.max(0, now - at);
  }

  /**
   * Takes a list that is told, or its age only (null). A lower version never comes back; the same
   * one only gets younger. Returns whether the servers changed. Fails with GARBLED, changing
   * nothing.
   */
  boolean response(long newEpoch, long newVersion, byte[] list, long takenAt) {
    List<ServerEntry> before = servers();
    int order =
        newEpoch != epoch ? Long.compare(newEpoch, epoch) : Long.compare(newVersion, version);
    if (bytes != null && order == 0) {
      pulledAt = Math.max(pulledAt, takenAt);
    } else if (list != null && (bytes == null || order > 0)) {
      pulled = ServerList.decode(list);
      bytes = list;
      epoch = newEpoch;
      version = newVersion;
      pulledAt = takenAt;
    }
    return !before.equals(servers());
  }

  /** Takes a list fetched by this process itself. Returns whether the servers changed. */
  boolean fetched(List<ServerEntry> list, long takenAt) {
    List<ServerEntry> before = servers();
    if (takenAt >= ownAt) {
      own = list;
      ownAt = takenAt;
    }
    return !before.equals(servers());
  }
}
