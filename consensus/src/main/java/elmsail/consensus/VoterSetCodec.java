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

/** A voter set as its record on disk. */
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
      throw new ElmsailException(ErrorCode.INTERNAL, "a voter set that cannot be written", e);
    }
    return bytes.toByteArray();
  }

  static VoterSet decode(byte[] bytes) {
    VoterSet voterSet = new VoterSet();
    if (bytes == null) {
      return voterSet;
    }
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    try {
      int voters = in.readUnsignedShort();
      for (int i = 0; i < voters; i++) {
        Voter voter = new Voter();
        voter.address = in.readUTF();
        voter.machine = in.readUTF();
        voter.instanceId = in.readLong();
        voter.epoch = in.readInt();
        voterSet.voters.add(voter);
      }
      for (int i = 0; i < voters && in.available() > 0; i++) {
        Voter voter = voterSet.voters.get(i);
        voter.previousAddress = in.readUTF();
        voter.previousInstanceId = in.readLong();
        voter.previousEpoch = in.readInt();
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.STORAGE_FAILURE, "a voter set that cannot be read", e);
    }
    return voterSet;
  }
}
