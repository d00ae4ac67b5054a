package elmsail.storage;

/**
 * What is known of one name: the newest safe change, the newest waiting, how often it is on disk.
 */
final class IndexEntry {
  final String name;

  /** Null if there is none. */
  RecordLocation durable;

  /** 0 when nothing waits. */
  long pendingSeq;

  /** Null for a removal that waits. */
  byte[] pendingBytes;

  /** Values of this name, old ones too, in files that may still be there after a loss of power. */
  int valuesOnDisk;

  IndexEntry(String name) {
    this.name = name;
  }

  boolean exists() {
    return pendingSeq != 0 ? pendingBytes != null : durable != null && durable.isValue();
  }
}
