package elmsail.controlplane;

import elmsail.config.watch.PeerRole;
import elmsail.rpc.messages.PullRequest;
import elmsail.storage.RecordStore;
import elmsail.storage.RecordStore.Change;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The RPC addresses of all control-plane nodes that have pulled from this node, those without a
 * disk included. The addresses are kept on disk, so that this node finds the others again after all
 * of them have lost power. Times are in ms of the monotonic clock. Runs on the event loop.
 */
final class KnownControlPlaneNodes {
  static final String RECORD = "head-peers";

  /** The nodes that have not pulled for the longest time are dropped beyond this number. */
  static final int MAX_NODES = 64;

  private static final long NOT_SINCE_START = Long.MIN_VALUE;
  private static final String SEPARATOR = "\n";

  private final RecordStore records;
  private final Map<String, Long> lastPullAtMs = new HashMap<>();
  private boolean writeFailed;

  /** Reads the addresses that an earlier process on this disk has kept. */
  KnownControlPlaneNodes(RecordStore records) {
    this.records = records;
    byte[] kept = records.read(RECORD);
    if (kept != null) {
      for (String address : new String(kept, StandardCharsets.UTF_8).split(SEPARATOR)) {
        lastPullAtMs.put(address, NOT_SINCE_START);
      }
    }
  }

  /** Records a pull; pulls of other roles are ignored. */
  void onPull(PullRequest request, long nowMs) {
    if (!PeerRole.CONTROL_PLANE.isRoleOf(request) || request.address.isEmpty()) {
      return;
    }
    boolean isNew = lastPullAtMs.put(request.address, nowMs) == null;
    if (isNew) {
      dropLeastRecent();
    }
    if (isNew || writeFailed) {
      write();
    }
  }

  private void dropLeastRecent() {
    while (lastPullAtMs.size() > MAX_NODES) {
      lastPullAtMs.remove(
          lastPullAtMs.entrySet().stream().min(Map.Entry.comparingByValue()).get().getKey());
    }
  }

  private void write() {
    writeFailed = false;
    byte[] bytes = String.join(SEPARATOR, addresses()).getBytes(StandardCharsets.UTF_8);
    records
        .write(List.of(new Change(RECORD, bytes)))
        .whenComplete((written, failure) -> writeFailed |= failure != null);
  }

  /** The addresses in ascending order. */
  SortedSet<String> addresses() {
    return new TreeSet<>(lastPullAtMs.keySet());
  }

  /** Whether the node at that address has pulled within the last {@code windowMs}. */
  boolean hasPulledWithin(String address, long windowMs, long nowMs) {
    long atMs = lastPullAtMs.getOrDefault(address, NOT_SINCE_START);
    return atMs != NOT_SINCE_START && nowMs - atMs <= windowMs;
  }
}
