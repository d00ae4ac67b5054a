package elmsail.batch;

import elmsail.batch.store.JobStoreService;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.runtime.ProcessMetrics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A simulated store with a simple acceptor. Its keys survive {@link #restart}; the state that the
 * service derives from them does not.
 */
final class SimJobStore {

  /** The state of the acceptor for one key. */
  static final class StoredKey {
    Ballot promised = new Ballot();
    Ballot accepted = new Ballot();
    byte[] value;
    final Map<String, byte[]> blobs = new HashMap<>();
  }

  record Response(
      boolean granted, Ballot promised, Ballot accepted, byte[] value, byte[] sideEffect) {}

  final String address;
  final Map<String, StoredKey> keys = new HashMap<>();
  final SimBatchCluster cluster;
  JobStoreService service;
  boolean up = true;

  SimJobStore(String address, SimBatchCluster cluster) {
    this.address = address;
    this.cluster = cluster;
    restart();
  }

  /** Starts a new process on the same disk. */
  void restart() {
    service =
        new JobStoreService(
            cluster.timers,
            () -> up,
            keys::remove,
            SimBatchCluster.STATUS_RETENTION_MS,
            ProcessMetrics.strict());
    service.start();
    for (Map.Entry<String, StoredKey> entry : keys.entrySet()) {
      if (entry.getValue().accepted.round > 0) {
        service.onAccepted(entry.getKey(), entry.getValue().value);
      }
    }
  }

  Response prepare(String key, Ballot ballot, List<Blob> blobs, byte[] sideEffect) {
    StoredKey storedKey = keys.computeIfAbsent(key, k -> new StoredKey());
    if (isLower(ballot, storedKey.promised)) {
      return new Response(false, storedKey.promised, null, null, null);
    }
    storedKey.promised = ballot;
    storeBlobs(storedKey, blobs);
    return new Response(
        true,
        ballot,
        storedKey.accepted,
        storedKey.value,
        sideEffect == null ? null : service.onSideEffect(key, sideEffect));
  }

  Response accept(String key, Ballot ballot, byte[] value, List<Blob> blobs) {
    StoredKey storedKey = keys.computeIfAbsent(key, k -> new StoredKey());
    if (isLower(ballot, storedKey.promised) || !service.admits(key, value)) {
      return new Response(false, storedKey.promised, null, null, null);
    }
    storedKey.promised = ballot;
    storedKey.accepted = ballot;
    storedKey.value = value;
    storeBlobs(storedKey, blobs);
    service.onAccepted(key, value);
    return new Response(true, ballot, ballot, value, null);
  }

  private static void storeBlobs(StoredKey storedKey, List<Blob> blobs) {
    for (Blob blob : blobs) {
      storedKey.blobs.putIfAbsent(blob.name, blob.bytes);
    }
  }

  static boolean isLower(Ballot first, Ballot second) {
    return first.round != second.round
        ? first.round < second.round
        : first.proposerId < second.proposerId;
  }
}
