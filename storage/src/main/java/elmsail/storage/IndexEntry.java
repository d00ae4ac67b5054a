package elmsail.storage;

/** The index entry of one record name. Guarded by the lock of {@link DirectoryRecordStore}. */
final class IndexEntry {
  final String name;

  /** The newest record on disk, of a value or a removal; null if there is none. */
  RecordLocation durable;

  /** The sequence number of the newest pending change; 0 if none is pending. */
  long pendingSeq;

  /**
   * The value of the newest pending change; null if that change is a removal, or no change is
   * pending.
   */
  byte[] pendingBytes;

  /**
   * The number of values of this name, old values included, in files that may exist after a power
   * loss.
   */
  int valuesOnDisk;

  IndexEntry(String name) {
    this.name = name;
  }

  /** Whether the name has a value, pending or durable. */
  boolean exists() {
    return pendingSeq != 0 ? pendingBytes != null : durable != null && durable.isValue();
  }
}
