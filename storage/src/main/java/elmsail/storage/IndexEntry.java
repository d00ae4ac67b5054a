package elmsail.storage;

/**
 * What is known of one name: the newest safe change, the newest waiting, how often it is on disk.
 */
final class IndexEntry {
  final String name;

  /** Null if there is none. */
  RecordLocation safe;

  /** 0 when nothing waits. */
  long waitingSeq;

  /** Null for a removal that waits. */
  byte[] waiting;

  /** Values of this name, old ones too, in files that may still be there after a loss of power. */
  int copies;

  IndexEntry(String name) {
    this.name = name;
  }

  boolean there() {
    return waitingSeq != 0 ? waiting != null : safe != null && safe.value();
  }
}
