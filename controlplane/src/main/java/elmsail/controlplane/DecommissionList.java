package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Collections;
import java.util.Set;
import java.util.TreeSet;

/**
 * The value of the register's key "retire": the stations that are to be emptied. It only grows, as
 * a call to empty one may be repeated at any time and its end is asked for by name; so it is
 * bounded by the number of stations that were ever emptied, and by {@value #MAX_NODES}.
 */
final class DecommissionList {
  static final String KEY = "retire";

  /** More are not taken, and the list stays as it is. */
  static final int MAX_NODES = 10_000;

  private DecommissionList() {}

  /** Null is none. */
  static Set<String> decode(byte[] value) {
    if (value == null) {
      return Set.of();
    }
    Set<String> nodes = new TreeSet<>();
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
      int count = in.readInt();
      if (count < 0 || count > MAX_NODES) {
        throw new ElmsailException(ErrorCode.MALFORMED, "stations: " + count);
      }
      for (int i = 0; i < count; i++) {
        nodes.add(in.readUTF());
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.MALFORMED, "stations", e);
    }
    return Collections.unmodifiableSet(nodes);
  }

  /**
   * The value with one more name.
   *
   * @throws ElmsailException of code FULL: there are {@value #MAX_NODES} already
   */
  static byte[] encodeWith(Set<String> nodes, String added) {
    if (nodes.size() >= MAX_NODES) {
      throw new ElmsailException(
          ErrorCode.RESOURCE_EXHAUSTED, "stations to be emptied: " + nodes.size());
    }
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeInt(nodes.size() + 1);
      for (String node : nodes) {
        out.writeUTF(node);
      }
      out.writeUTF(added);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "stations", e);
    }
    return bytes.toByteArray();
  }
}
