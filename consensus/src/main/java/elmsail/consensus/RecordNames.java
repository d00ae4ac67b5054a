package elmsail.consensus;

import elmsail.storage.RecordStore;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The names of a set's records on disk. The names must not change, as stored data has them:
 *
 * <ul>
 *   <li>{@code SET/seating}: the voter set ({@link VoterSetCodec})
 *   <li>{@code SET/seated}: the epoch under which this instance caught up
 *   <li>{@code SET/spare}: present while a join as a spare is under way
 *   <li>{@code SET/k/KEY}: the state of a key ({@link AcceptorState})
 *   <li>{@code SET/b/KEY/NAME}: a blob of a key
 * </ul>
 *
 * <p>"%" and "/" in a key are escaped as "%25" and "%2F", so that the prefix of one key's blobs
 * never matches a blob of another key.
 */
final class RecordNames {
  private final String set;
  private final String votingRecord;
  private final String voterSetRecord;
  private final String spareRecord;
  private final String keyPrefix;
  private final String blobPrefix;

  RecordNames(String set) {
    this.set = set;
    votingRecord = set + "/seated";
    voterSetRecord = set + "/seating";
    spareRecord = set + "/spare";
    keyPrefix = set + "/k/";
    blobPrefix = set + "/b/";
  }

  /** The name of the set. */
  String set() {
    return set;
  }

  /** The record of the epoch under which this instance caught up, see {@link #epochToBytes}. */
  String votingRecord() {
    return votingRecord;
  }

  /** The record of the voter set. */
  String voterSetRecord() {
    return voterSetRecord;
  }

  /** The record that exists while a join as a spare is under way; its content has no meaning. */
  String spareRecord() {
    return spareRecord;
  }

  /** The prefix of all keys' records. */
  String keyPrefix() {
    return keyPrefix;
  }

  /** The prefix of all blobs' records. */
  String blobPrefix() {
    return blobPrefix;
  }

  /** The record of a key's state. */
  String keyRecord(String key) {
    return keyPrefix + escape(key);
  }

  /** The prefix of the records of a key's blobs. */
  String blobPrefix(String key) {
    return blobPrefix + escape(key) + "/";
  }

  /** The record of a blob. */
  String blobRecord(String key, String name) {
    return blobPrefix + escape(key) + "/" + name;
  }

  /** The key whose state this record holds. */
  String keyOf(String record) {
    return unescape(record.substring(keyPrefix.length()));
  }

  /** The key to which the blob of this record belongs. */
  String keyOfBlob(String record) {
    return unescape(
        record.substring(blobPrefix.length(), record.indexOf('/', blobPrefix.length())));
  }

  /** The name of the blob of this record. */
  String nameOfBlob(String record) {
    return record.substring(record.indexOf('/', blobPrefix.length()) + 1);
  }

  /** Whether the record holds the state of a key. */
  boolean isKeyRecord(String record) {
    return record.startsWith(keyPrefix);
  }

  /** The prefix (of keys' or of blobs' records) with which the name begins; null if neither. */
  String kindPrefixOf(String record) {
    if (record.startsWith(keyPrefix)) {
      return keyPrefix;
    }
    return record.startsWith(blobPrefix) ? blobPrefix : null;
  }

  /** The keys that have a record. */
  List<String> keysIn(RecordStore records) {
    List<String> found = new ArrayList<>();
    for (String record : records.names(keyPrefix)) {
      found.add(keyOf(record));
    }
    return found;
  }

  /** Whether there is a record of this name. Doesn't read the record's bytes. */
  boolean isStored(RecordStore records, String name) {
    Iterator<String> found = records.names(name).iterator();
    return found.hasNext() && found.next().equals(name);
  }

  /** The content of the record of an epoch: 4 bytes, big-endian. */
  static byte[] epochToBytes(int epoch) {
    return ByteBuffer.allocate(Integer.BYTES).putInt(epoch).array();
  }

  /** The epoch of a record; 0 if there is no record, or its length is not 4 bytes. */
  static int epochFromBytes(byte[] bytes) {
    return bytes == null || bytes.length != Integer.BYTES ? 0 : ByteBuffer.wrap(bytes).getInt();
  }

  private static String escape(String key) {
    return key.indexOf('/') < 0 && key.indexOf('%') < 0
        ? key
        : key.replace("%", "%25").replace("/", "%2F");
  }

  private static String unescape(String escaped) {
    return escaped.indexOf('%') < 0 ? escaped : escaped.replace("%2F", "/").replace("%25", "%");
  }
}
