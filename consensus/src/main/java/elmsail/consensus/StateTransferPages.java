package elmsail.consensus;

import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.StateTransferResponse;
import elmsail.storage.RecordStore;
import java.util.Map;

/** The pages of records that a voter sends in a state transfer. */
final class StateTransferPages {
  private static final int MAX_PAGE_BYTES = 1 << 20;
  private static final int MAX_NAMES_PER_PAGE = 5_000;

  private final RecordStore records;
  private final RecordNames names;

  StateTransferPages(RecordStore records, RecordNames names) {
    this.records = records;
    this.names = names;
  }

  /**
   * Fills a response with the records after {@code after} that are of the same kind (keys or
   * blobs).
   *
   * @param after the name of a record, or the prefix of a kind; for any other text the response is
   *     an empty last page
   * @param maxBytes the requested size of the page, which a single record may exceed
   */
  void fill(StateTransferResponse response, String after, int maxBytes) {
    String kind = names.kindPrefixOf(after);
    if (kind == null) {
      return;
    }
    int limit = Math.min(Math.max(maxBytes, 1), MAX_PAGE_BYTES);
    Map<String, byte[]> page = records.page(after, limit);
    response.lastPage = page.isEmpty();
    for (Map.Entry<String, byte[]> entry : page.entrySet()) {
      if (!entry.getKey().startsWith(kind)) {
        response.lastPage = true;
        return;
      }
      response.records.add(record(entry.getKey(), entry.getValue()));
    }
  }

  /** Fills a response with the names of the blobs after {@code after}, without their bytes. */
  void fillBlobNames(StateTransferResponse response, String after) {
    response.lastPage = true;
    if (!after.startsWith(names.blobPrefix())) {
      return;
    }
    for (String name : records.names(names.blobPrefix())) {
      if (name.compareTo(after) <= 0) {
        continue;
      }
      if (response.records.size() == MAX_NAMES_PER_PAGE) {
        response.lastPage = false;
        return;
      }
      response.records.add(record(name, null));
    }
  }

  private static Blob record(String name, byte[] bytes) {
    Blob record = new Blob();
    record.name = name;
    if (bytes != null) {
      record.bytes = bytes;
    }
    return record;
  }
}
