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
 * @param sure whether it has listened for long enough, in unbroken contact with a majority, that a
 *     store which is there would have been heard
 * @param agoMs by the store's name, how long ago it was heard last
 */
record HeardStores(boolean sure, Map<String, Long> agoMs) {
  private static final int MOST = 1_000;

  /** Reads what {@link #bytes()} wrote; fails with GARBLED. */
  static HeardStores of(byte[] bytes) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      boolean sure = in.readBoolean();
      int count = in.readInt();
      if (count < 0 || count > MOST) {
        throw new ElmsailException(ErrorCode.MALFORMED, "stores heard: " + count);
      }
      Map<String, Long> agoMs = new TreeMap<>();
      for (int i = 0; i < count; i++) {
        agoMs.put(in.readUTF(), in.readLong());
      }
      return new HeardStores(sure, agoMs);
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.MALFORMED, "stores heard", e);
    }
  }

  byte[] bytes() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeBoolean(sure);
      out.writeInt(agoMs.size());
      for (Map.Entry<String, Long> store : agoMs.entrySet()) {
        out.writeUTF(store.getKey());
        out.writeLong(store.getValue());
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "stores heard", e);
    }
    return bytes.toByteArray();
  }
}
