package willowdoor.members;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/**
 * Small name-value pairs that a member publishes about itself for other components. Immutable; at
 * most 8 names of 1 to 16 ASCII characters, and 128 bytes in total, including the names. Tags
 * spread with the member's statement; a change starts a new incarnation.
 */
public final class Tags {

  public static final Tags NONE = new Tags(new TreeMap<>());
  static final int MAX_TAGS = 8;
  static final int MAX_NAME_LENGTH = 16;
  static final int MAX_BYTES = 128;

  private final TreeMap<String, byte[]> values;

  private Tags(TreeMap<String, byte[]> values) {
    this.values = values;
  }

  /** Copies the map; throws IllegalArgumentException if the map exceeds a limit. */
  public static Tags of(Map<String, byte[]> values) {
    TreeMap<String, byte[]> copy = new TreeMap<>();
    int bytes = 0;
    for (Map.Entry<String, byte[]> e : values.entrySet()) {
      String name = e.getKey();
      boolean ascii = StandardCharsets.US_ASCII.newEncoder().canEncode(name);
      if (name.isEmpty() || name.length() > MAX_NAME_LENGTH || !ascii) {
        throw new IllegalArgumentException(
            "tag name is not 1 to 16 ASCII characters: '" + name + "'");
      }
      bytes += name.length() + e.getValue().length;
      copy.put(name, e.getValue().clone());
    }
    if (bytes > MAX_BYTES || copy.size() > MAX_TAGS) {
      throw new IllegalArgumentException(
          "more than " + MAX_TAGS + " tags or " + MAX_BYTES + " bytes of them");
    }
    return copy.isEmpty() ? NONE : new Tags(copy);
  }

  /** A copy with the tag set; a null value removes the tag. */
  public Tags with(String name, byte[] value) {
    Map<String, byte[]> changed = new TreeMap<>(values);
    if (value == null) {
      changed.remove(name);
    } else {
      changed.put(name, value);
    }
    return of(changed);
  }

  /** A copy of the tag's bytes; null if there is no such tag. */
  public byte[] get(String name) {
    byte[] value = values.get(name);
    return value == null ? null : value.clone();
  }

  /** The tags ordered by name; callers must not modify the bytes. */
  Map<String, byte[]> values() {
    return values;
  }

  /** Upper bound of the encoded size in a datagram. */
  int maxEncodedBytes() {
    int size = 1;
    for (Map.Entry<String, byte[]> e : values.entrySet()) {
      size += 1 + e.getKey().length() + 2 + e.getValue().length;
    }
    return size;
  }
}
