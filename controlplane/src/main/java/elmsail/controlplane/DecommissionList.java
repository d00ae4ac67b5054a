package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * Codec of the register's value under {@link #KEY}: the names of the machines whose stores are to
 * be decommissioned. Names are only ever added, as the call for one may be repeated at any time and
 * its state is read by name; so the list is bounded by {@value #MAX_MACHINES}.
 */
final class DecommissionList {
  static final String KEY = "retire";

  /** The list never has more names. */
  static final int MAX_MACHINES = 10_000;

  private static final String VALUE_NAME = "decommission list";

  private DecommissionList() {}

  /**
   * The names in a value; none for null.
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
   * The value with one more name.
   *
   * @throws ElmsailException RESOURCE_EXHAUSTED if there are {@value #MAX_MACHINES} already
   */
  static byte[] encodeWith(Set<String> names, String added) {
    if (names.size() >= MAX_MACHINES) {
      throw new ElmsailException(
          ErrorCode.RESOURCE_EXHAUSTED,
          VALUE_NAME + " is full: " + names.size() + " names, not added: " + added);
    }
    return ValueCodec.encode(
        VALUE_NAME,
        out -> {
          out.writeInt(names.size() + 1);
          for (String name : names) {
            out.writeUTF(name);
          }
          out.writeUTF(added);
        });
  }
}
