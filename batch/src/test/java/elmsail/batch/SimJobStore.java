package elmsail.batch;

import elmsail.batch.store.JobRetention;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.runtime.ProcessMetrics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A voter with the views of a jobs' store; what is in it outlives {@code restart}, but for the
 * views.
 */
final class SimJobStore {

  /** What it holds of one key. */
  static final class Cell {
    Ballot promised = new Ballot();
    Ballot accepted = new Ballot();
    byte[] value;
    final Map<String, byte[]> blobs = new HashMap<>();
  }

  record Told(boolean done, Ballot promised, Ballot accepted, byte[] value, byte[] note) {}

  final String address;
  final Map<String, Cell> cells = new HashMap<>();
  final SimWorld world;
  JobRetention views;
  boolean up = true;

  SimJobStore(String address, SimWorld world) {
    this.address = address;
    this.world = world;
    restart();
  }

  /** A new process on the same disk. */
  void restart() {
    views =
        new JobRetention(
            world.timers, () -> up, cells::remove, SimWorld.STATUS_MS, ProcessMetrics.strict());
    views.start();
    for (Map.Entry<String, Cell> one : cells.entrySet()) {
      if (one.getValue().value != null) {
        views.onAccepted(one.getKey(), one.getValue().value);
      }
    }
  }

  Told prepare(String key, Ballot ballot, List<Blob> blobs, byte[] note) {
    Cell cell = cells.computeIfAbsent(key, k -> new Cell());
    if (less(ballot, cell.promised)) {
      return new Told(false, cell.promised, null, null, null);
    }
    cell.promised = ballot;
    keep(cell, blobs);
    return new Told(
        true, ballot, cell.accepted, cell.value, note == null ? null : views.onSideEffect(key, note));
  }

  Told accept(String key, Ballot ballot, byte[] value, List<Blob> blobs) {
    Cell cell = cells.computeIfAbsent(key, k -> new Cell());
    if (less(ballot, cell.promised) || !views.admits(key, value)) {
      return new Told(false, cell.promised, null, null, null);
    }
    cell.promised = ballot;
    cell.accepted = ballot;
    cell.value = value;
    keep(cell, blobs);
    views.onAccepted(key, value);
    return new Told(true, ballot, ballot, value, null);
  }

  private static void keep(Cell cell, List<Blob> blobs) {
    for (Blob one : blobs) {
      cell.blobs.putIfAbsent(one.name, one.bytes);
    }
  }

  static boolean less(Ballot one, Ballot other) {
    return one.round != other.round ? one.round < other.round : one.proposerId < other.proposerId;
  }
}
