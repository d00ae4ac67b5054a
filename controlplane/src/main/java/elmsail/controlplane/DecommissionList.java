package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Codec of the register's value under {@link #KEY}: the names of the machines whose stores are to
 * be decommissioned. Names are never removed, because operators may repeat a decommission call at
 * any time and read the state by name; the list is therefore limited to {@value #MAX_MACHINES}
 * names.
 */
final class DecommissionList {
  static final String KEY = "retire";

  /** The maximum number of names in the list. */
  static final int MAX_MACHINES = 10_000;

  private static final String VALUE_NAME = "decommission list";

  private DecommissionList() {}

  /**
   * Decodes the names; null yields an empty set.
   *
   * @throws ElmsailException MALFORMED if the value cannot be decoded
   */
  static Set<String> decode(byte[] value) {
    if (value == null) {
      return Set.of();
    }
    return ValueCodec.decode(
        VALUE_NAME,
        value,
        in -> {
          int count = ValueCodec.readCount(in, VALUE_NAME, MAX_MACHINES);
          Set<String> names = new TreeSet<>();
          for (int i = 0; i < count; i++) {
            names.add(in.readUTF());
          }
          return Collections.unmodifiableSet(names);
        });
  }

  /**
   * Encodes the list with one more name.
   *
   * @throws ElmsailException RESOURCE_EXHAUSTED if the list already has {@value #MAX_MACHINES}
   *     names
   */
  static byte[] encodeWith(Set<String> names, String added) {
    if (names.size() >= MAX_MACHINES) {
      throw new ElmsailException(
          ErrorCode.RESOURCE_EXHAUSTED,
          VALUE_NAME + " is full: " + names.size() + " names, not added: " + added);
    }
    Set<String> extended = new TreeSet<>(names);
    extended.add(added);
    return encode(extended);
  }

  /** Encodes the list. */
  static byte[] encode(Set<String> names) {
    return ValueCodec.encode(
        VALUE_NAME,
        out -> {
          out.writeInt(names.size());
          for (String name : names) {
            out.writeUTF(name);
          }
        });
  }
}
