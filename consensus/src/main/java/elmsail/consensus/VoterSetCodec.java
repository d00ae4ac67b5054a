package elmsail.consensus;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/**
 * The record of a voter set on disk: the number of voters, all voters, then the previous voter of
 * each slot. Records of earlier versions lack the previous voters. Whether a voter is confirmed is
 * not stored.
 */
final class VoterSetCodec {
  private VoterSetCodec() {}

  static byte[] encode(VoterSet voterSet) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    DataOutputStream out = new DataOutputStream(bytes);
    try {
      out.writeShort(voterSet.voters.size());
      for (Voter voter : voterSet.voters) {
        out.writeUTF(voter.address);
        out.writeUTF(voter.machine);
        out.writeLong(voter.instanceId);
        out.writeInt(voter.epoch);
      }
      for (Voter voter : voterSet.voters) {
        out.writeUTF(voter.previousAddress);
        out.writeLong(voter.previousInstanceId);
        out.writeInt(voter.previousEpoch);
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "voter set cannot be encoded", e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a record.
   *
   * @param bytes null if there is no record; the result is then a set without voters
   * @throws ElmsailException of code {@code STORAGE_FAILURE} if the record cannot be decoded
   */
  static VoterSet decode(byte[] bytes) {
    VoterSet voterSet = new VoterSet();
    if (bytes == null) {
      return voterSet;
    }
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    try {
      int voters = in.readUnsignedShort();
      for (int slot = 0; slot < voters; slot++) {
        Voter voter = new Voter();
        voter.address = in.readUTF();
        voter.machine = in.readUTF();
        voter.instanceId = in.readLong();
        voter.epoch = in.readInt();
        voterSet.voters.add(voter);
      }
      for (int slot = 0; slot < voters && in.available() > 0; slot++) {
        Voter voter = voterSet.voters.get(slot);
        voter.previousAddress = in.readUTF();
        voter.previousInstanceId = in.readLong();
        voter.previousEpoch = in.readInt();
      }
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.STORAGE_FAILURE,
          "record of a voter set: " + bytes.length + " bytes cannot be decoded",
          e);
    }
    return voterSet;
  }
}
