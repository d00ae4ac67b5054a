package elmsail.controlplane;

import java.util.Map;
import java.util.TreeMap;

/**
 * The stores from which a control-plane node has received heartbeats since it started.
 *
 * @param isConclusive whether the node has been in unbroken contact with a majority for so long
 *     that every running store would have sent it a heartbeat
 * @param heartbeatAgesMs the age in ms of each store's last heartbeat, by the store's machine
 */
record StoreHeartbeats(boolean isConclusive, Map<String, Long> heartbeatAgesMs) {
  private static final int MAX_STORES = 1_000;
  private static final String VALUE_NAME = "store heartbeats";

  /**
   * Decodes what {@link #encode()} wrote.
   *
   * @throws elmsail.runtime.ElmsailException MALFORMED if the bytes cannot be decoded
   */
  static StoreHeartbeats decode(byte[] bytes) {
    return ValueCodec.decode(
        VALUE_NAME,
        bytes,
        in -> {
          boolean isConclusive = in.readBoolean();
          int count = ValueCodec.readCount(in, VALUE_NAME, MAX_STORES);
          Map<String, Long> heartbeatAgesMs = new TreeMap<>();
          for (int i = 0; i < count; i++) {
            heartbeatAgesMs.put(in.readUTF(), in.readLong());
          }
          return new StoreHeartbeats(isConclusive, heartbeatAgesMs);
        });
  }

  /** The bytes of a peer message. */
  byte[] encode() {
    return ValueCodec.encode(
        VALUE_NAME,
        out -> {
          out.writeBoolean(isConclusive);
          out.writeInt(heartbeatAgesMs.size());
          for (Map.Entry<String, Long> store : heartbeatAgesMs.entrySet()) {
            out.writeUTF(store.getKey());
            out.writeLong(store.getValue());
          }
        });
  }
}
