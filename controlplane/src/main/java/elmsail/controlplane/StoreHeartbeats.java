package elmsail.controlplane;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which stores a control-plane node has heard in its life.
 *
 * @param isConclusive whether it has listened for long enough, in unbroken contact with a majority,
 *     that a store which is there would have been heard
 * @param heartbeatAgesMs by the store's name, how long ago it was heard last
 */
record StoreHeartbeats(boolean isConclusive, Map<String, Long> heartbeatAgesMs) {
  private static final int MAX_STORES = 1_000;

  /** Reads what {@link #encode()} wrote; fails with GARBLED. */
  static StoreHeartbeats decode(byte[] bytes) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      boolean isConclusive = in.readBoolean();
      int count = in.readInt();
      if (count < 0 || count > MAX_STORES) {
        throw new ElmsailException(ErrorCode.MALFORMED, "stores heard: " + count);
      }
      Map<String, Long> heartbeatAgesMs = new TreeMap<>();
      for (int i = 0; i < count; i++) {
        heartbeatAgesMs.put(in.readUTF(), in.readLong());
      }
      return new StoreHeartbeats(isConclusive, heartbeatAgesMs);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.MALFORMED, "stores heard", e);
    }
  }

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeBoolean(isConclusive);
      out.writeInt(heartbeatAgesMs.size());
      for (Map.Entry<String, Long> store : heartbeatAgesMs.entrySet()) {
        out.writeUTF(store.getKey());
        out.writeLong(store.getValue());
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "stores heard", e);
    }
    return bytes.toByteArray();
  }
}
