package elmsail.register;

import elmsail.disk.Records;
import elmsail.inner.words.Blob;
import elmsail.inner.words.CopyTold;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * How the records of one set are called: SET/k/KEY the key's state, SET/b/KEY/NAME a blob, SET/seating,
 * SET/seated and SET/spare. A "%" or "/" in a key is written %25 or %2F there, so that no key's blobs are
 * another's.
 */
final class KeptNames {
  private static final int MOST_NAMES = 5_000;

  private final String seated;
  private final String seating;
  private final String spare;
  private final String keys;
  private final String allBlobs;

  KeptNames(String set) {
    seated = set + "/seated";
    seating = set + "/seating";
    spare = set + "/spare";
    keys = set + "/k/";
    allBlobs = set + "/b/";
  }

  String seated() {
    return seated;
  }

  String seating() {
    return seating;
  }

  /** Is there while a claim goes on that was made as a spare. */
  String spare() {
    return spare;
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
    return keys + plain(key);
  }

  String blobs(String key) {
    return allBlobs + plain(key) + "/";
  }

  String blob(String key, String name) {
    return allBlobs + plain(key) + "/" + name;
  }

  String keyOf(String record) {
    return written(record.substring(keys.length()));
  }

  /** The keys that have a record. */
  List<String> keys(Records records) {
    List<String> found = new ArrayList<>();
    for (String record : records.names(keys)) {
      found.add(keyOf(record));
    }
    return found;
  }

  boolean holdsKey(String record) {
    return record.startsWith(keys);
  }

  boolean has(Records records, String name) {
    Iterator<String> found = records.names(name).iterator();
    return found.hasNext() && found.next().equals(name);
  }

  /** The records behind {@code after} among those of its kind, keys or blobs. */
  void page(Records records, String after, int mostBytes, CopyTold told) {
    String kind = after.startsWith(keys) ? keys : after.startsWith(allBlobs) ? allBlobs : null;
    if (kind == null) {
      return;
    }
    Map<String, byte[]> page = records.page(after, mostBytes);
    told.end = page.isEmpty();
    for (Map.Entry<String, byte[]> record : page.entrySet()) {
      if (!record.getKey().startsWith(kind)) {
        told.end = true;
        return;
      }
      Blob one = new Blob();
      one.name = record.getKey();
      one.bytes = record.getValue();
      told.records.add(one);
    }
  }

  /** Names of the blobs behind {@code after}, so many at most. */
  void barePage(Records records, String after, CopyTold told) {
    told.end = true;
    if (!after.startsWith(allBlobs)) {
      return;
    }
    for (String name : records.names(allBlobs)) {
      if (name.compareTo(after) <= 0) {
        continue;
      }
      if (told.records.size() == MOST_NAMES) {
        told.end = false;
        return;
      }
      Blob one = new Blob();
      one.name = name;
      told.records.add(one);
    }
  }

  /** The key of a blob's record. */
  String keyOfBlob(String record) {
    return written(record.substring(allBlobs.length(), record.indexOf('/', allBlobs.length())));
  }

  /** The name that a blob's record has beside its key. */
  String nameOfBlob(String record) {
    return record.substring(record.indexOf('/', allBlobs.length()) + 1);
  }

  static byte[] bytes(int incarnation) {
    return ByteBuffer.allocate(Integer.BYTES).putInt(incarnation).array();
  }

  static int incarnation(byte[] bytes) {
    return bytes == null || bytes.length != Integer.BYTES ? 0 : ByteBuffer.wrap(bytes).getInt();
  }

  private static String written(String plain) {
    return plain.indexOf('%') < 0 ? plain : plain.replace("%2F", "/").replace("%25", "%");
  }

  private static String plain(String key) {
    return key.indexOf('/') < 0 && key.indexOf('%') < 0 ? key
        : key.replace("%", "%25").replace("/", "%2F");
  }
}
