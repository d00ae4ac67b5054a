package elmsail.batch;

import elmsail.batch.store.JobStoreService;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.runtime.ProcessMetrics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A store with a simple acceptor. Its keys survive {@link #restart}, what the service derives from
 * them does not.
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
    for (Map.Entry<String, StoredKey> one : keys.entrySet()) {
      if (one.getValue().value != null) {
        service.onAccepted(one.getKey(), one.getValue().value);
      }
    }
  }

  Response prepare(String key, Ballot ballot, List<Blob> blobs, byte[] sideEffect) {
    StoredKey cell = keys.computeIfAbsent(key, k -> new StoredKey());
    if (isLower(ballot, cell.promised)) {
      return new Response(false, cell.promised, null, null, null);
    }
    cell.promised = ballot;
    storeBlobs(cell, blobs);
    return new Response(
        true,
        ballot,
        cell.accepted,
        cell.value,
        sideEffect == null ? null : service.onSideEffect(key, sideEffect));
  }

  Response accept(String key, Ballot ballot, byte[] value, List<Blob> blobs) {
    StoredKey cell = keys.computeIfAbsent(key, k -> new StoredKey());
    if (isLower(ballot, cell.promised) || !service.admits(key, value)) {
      return new Response(false, cell.promised, null, null, null);
    }
    cell.promised = ballot;
    cell.accepted = ballot;
    cell.value = value;
    storeBlobs(cell, blobs);
    service.onAccepted(key, value);
    return new Response(true, ballot, ballot, value, null);
  }

  private static void storeBlobs(StoredKey cell, List<Blob> blobs) {
    for (Blob blob : blobs) {
      cell.blobs.putIfAbsent(blob.name, blob.bytes);
    }
  }

  static boolean isLower(Ballot one, Ballot other) {
    return one.round != other.round ? one.round < other.round : one.proposerId < other.proposerId;
  }
}
