package elmsail.consensus;

import elmsail.rpc.messages.Blob;
import elmsail.rpc.messages.StateTransferResponse;
import elmsail.storage.RecordStore;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * How the records of one set are called: SET/k/KEY the key's state, SET/b/KEY/NAME a blob,
 * SET/voter set, SET/voting and SET/spare. A "%" or "/" in a key is written %25 or %2F there, so
 * that no key's blobs are another's.
 */
final class RecordNames {
  private static final int MAX_NAMES_PER_PAGE = 5_000;

  private final String votingRecord;
  private final String voterSetRecord;
  private final String spareRecord;
  private final String keys;
  private final String allBlobs;

  RecordNames(String set) {
    votingRecord = set + "/seated";
    voterSetRecord = set + "/seating";
    spareRecord = set + "/spare";
    keys = set + "/k/";
    allBlobs = set + "/b/";
  }

  String votingRecord() {
    return votingRecord;
  }

  String voterSetRecord() {
    return voterSetRecord;
  }

  /** Is there while a claim goes on that was made as a spare. */
  String spareRecord() {
    return spareRecord;
  }

  /** What all keys' records begin with. */
  String keys() {
    return keys;
  }

  /** What all blobs' records begin with. */
  String blobs() {
    return allBlobs;
  }

  String key(String key) {
    return keys + escape(key);
  }

  String blobs(String key) {
    return allBlobs + escape(key) + "/";
  }

  String blob(String key, String name) {
    return allBlobs + escape(key) + "/" + name;
  }

  String keyOf(String record) {
    return unescape(record.substring(keys.length()));
  }

  /** The keys that have a record. */
  List<String> keys(RecordStore records) {
    List<String> found = new ArrayList<>();
    for (String record : records.names(keys)) {
      found.add(keyOf(record));
    }
    return found;
  }

  boolean isKeyRecord(String record) {
    return record.startsWith(keys);
  }

  boolean isStored(RecordStore records, String name) {
    Iterator<String> found = records.names(name).iterator();
    return found.hasNext() && found.next().equals(name);
  }

  /** The records behind {@code after} among those of its kind, keys or blobs. */
  void page(RecordStore records, String after, int maxBytes, StateTransferResponse response) {
    String kind = after.startsWith(keys) ? keys : after.startsWith(allBlobs) ? allBlobs : null;
    if (kind == null) {
      return;
    }
    Map<String, byte[]> page = records.page(after, maxBytes);
    response.lastPage = page.isEmpty();
    for (Map.Entry<String, byte[]> record : page.entrySet()) {
      if (!record.getKey().startsWith(kind)) {
        response.lastPage = true;
        return;
      }
      Blob one = new Blob();
      one.name = record.getKey();
      one.bytes = record.getValue();
      response.records.add(one);
    }
  }

  /** Names of the blobs behind {@code after}, so many at most. */
  void blobNamePage(RecordStore records, String after, StateTransferResponse response) {
    response.lastPage = true;
    if (!after.startsWith(allBlobs)) {
      return;
    }
    for (String name : records.names(allBlobs)) {
      if (name.compareTo(after) <= 0) {
        continue;
      }
      if (response.records.size() == MAX_NAMES_PER_PAGE) {
        response.lastPage = false;
        return;
      }
      Blob one = new Blob();
      one.name = name;
      response.records.add(one);
    }
  }

  /** The key of a blob's record. */
  String keyOfBlob(String record) {
    return unescape(record.substring(allBlobs.length(), record.indexOf('/', allBlobs.length())));
  }

  /** The name that a blob's record has beside its key. */
  String nameOfBlob(String record) {
    return record.substring(record.indexOf('/', allBlobs.length()) + 1);
  }

  static byte[] epochToBytes(int epoch) {
    return ByteBuffer.allocate(Integer.BYTES).putInt(epoch).array();
  }

  static int epochFromBytes(byte[] bytes) {
    return bytes == null || bytes.length != Integer.BYTES ? 0 : ByteBuffer.wrap(bytes).getInt();
  }

  private static String unescape(String plain) {
    return plain.indexOf('%') < 0 ? plain : plain.replace("%2F", "/").replace("%25", "%");
  }

  private static String escape(String key) {
    return key.indexOf('/') < 0 && key.indexOf('%') < 0
        ? key
        : key.replace("%", "%25").replace("/", "%2F");
  }
}
