package elmsail.consensus;

import elmsail.rpc.messages.Ballot;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.ByteBuffer;

/**
 * The state of one voter at one key, and its record on disk: the promised and the accepted ballot
 * (round and proposer, 8 bytes each), one byte of flags, and the value.
 *
 * @param promised the highest ballot promised, never below {@code accepted}
 * @param accepted the ballot under which {@code value} was accepted
 * @param fromStateTransfer whether {@code accepted} was copied from another voter when this replica
 *     joined; such a record is not a vote of this voter
 * @param value null if nothing was accepted, or the absence of a value was
 */
record AcceptorState(Ballot promised, Ballot accepted, boolean fromStateTransfer, byte[] value) {
  private static final int HEADER_BYTES = 4 * Long.BYTES + 1;
  private static final int HAS_VALUE_FLAG = 1;
  private static final int FROM_STATE_TRANSFER_FLAG = 2;

  /** The state of a key that has no record: nothing promised, nothing accepted. */
  static final AcceptorState EMPTY = new AcceptorState(new Ballot(), new Ballot(), false, null);

  byte[] toBytes() {
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + (value == null ? 0 : value.length));
    out.putLong(promised.round)
        .putLong(promised.proposerId)
        .putLong(accepted.round)
        .putLong(accepted.proposerId);
    out.put(
        (byte)
            ((value == null ? 0 : HAS_VALUE_FLAG)
                | (fromStateTransfer ? FROM_STATE_TRANSFER_FLAG : 0)));
    if (value != null) {
      out.put(value);
    }
    return out.array();
  }

  /**
   * Decodes a record.
   *
   * @param bytes null if there is no record; the result is then {@link #EMPTY}
   * @throws ElmsailException of code {@code STORAGE_FAILURE} if the record is too short
   */
  static AcceptorState fromBytes(byte[] bytes) {
    if (bytes == null) {
      return EMPTY;
    }
    if (bytes.length < HEADER_BYTES) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE,
          "record of a key's state: expected at least "
              + HEADER_BYTES
              + " bytes, found "
              + bytes.length);
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    Ballot promised = Ballots.of(in.getLong(), in.getLong());
    Ballot accepted = Ballots.of(in.getLong(), in.getLong());
    int flags = in.get();
    byte[] value = null;
    if ((flags & HAS_VALUE_FLAG) != 0) {
      value = new byte[in.remaining()];
      in.get(value);
    }
    return new AcceptorState(promised, accepted, (flags & FROM_STATE_TRANSFER_FLAG) != 0, value);
  }

  /**
   * Merges the state that another voter sent in a state transfer: the result has the highest
   * promised and the highest accepted ballot of both states. The result is marked as transferred if
   * its value comes from {@code other}, or if this state was marked so before.
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
