package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.ByteBuffer;

/**
 * What one voter holds of one key.
 *
 * @param promised never below {@code accepted}
 * @param fromStateTransfer {@code accepted} came from another voter slot's record when this voter
 *     slot was claimed
 * @param value null if nothing was accepted
 */
record AcceptorState(Ballot promised, Ballot accepted, boolean fromStateTransfer, byte[] value) {
  private static final int HEADER_BYTES = 4 * Long.BYTES + 1;

  static final AcceptorState EMPTY = new AcceptorState(new Ballot(), new Ballot(), false, null);

  byte[] toBytes() {
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + (value == null ? 0 : value.length));
    out.putLong(promised.round)
        .putLong(promised.proposerId)
        .putLong(accepted.round)
        .putLong(accepted.proposerId);
    out.put((byte) ((value == null ? 0 : 1) | (fromStateTransfer ? 2 : 0)));
    if (value != null) {
      out.put(value);
    }
    return out.array();
  }

  static AcceptorState fromBytes(byte[] bytes) {
    if (bytes == null) {
      return EMPTY;
    }
    if (bytes.length < HEADER_BYTES) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE, "a key's record of " + bytes.length + " bytes");
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    Ballot promised = Ballots.of(in.getLong(), in.getLong());
    Ballot accepted = Ballots.of(in.getLong(), in.getLong());
    int flags = in.get();
    byte[] value = null;
    if ((flags & 1) != 0) {
      value = new byte[in.remaining()];
      in.get(value);
    }
    return new AcceptorState(promised, accepted, (flags & 2) != 0, value);
  }

  /**
   * This, and what another voter slot holds of the same key: the highest promise, the highest
   * accepted.
   */
  AcceptorState mergeTransferred(AcceptorState other) {
    boolean otherIsNewer = Ballots.compare(other.accepted, accepted) > 0;
    return new AcceptorState(
        Ballots.max(promised, other.promised),
        otherIsNewer ? other.accepted : accepted,
        otherIsNewer || fromStateTransfer,
        otherIsNewer ? other.value : value);
  }
}
