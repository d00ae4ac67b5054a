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

  static byte[] of(VoterSet voterSet) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    DataOutputStream out = new DataOutputStream(bytes);
    try {
      out.writeShort(voterSet.voters.size());
      for (Voter slot : voterSet.voters) {
        out.writeUTF(slot.address);
        out.writeUTF(slot.machine);
        out.writeLong(slot.instanceId);
        out.writeInt(slot.epoch);
      }
      for (Voter slot : voterSet.voters) {
        out.writeUTF(slot.previousAddress);
        out.writeLong(slot.previousInstanceId);
        out.writeInt(slot.previousEpoch);
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "a voter set that cannot be written", e);
    }
    return bytes.toByteArray();
  }

  static VoterSet voterSet(byte[] bytes) {
    VoterSet voterSet = new VoterSet();
    if (bytes == null) {
      return voterSet;
    }
    DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes));
    try {
      int voters = in.readUnsignedShort();
      for (int i = 0; i < voters; i++) {
        Voter slot = new Voter();
        slot.address = in.readUTF();
        slot.machine = in.readUTF();
        slot.instanceId = in.readLong();
        slot.epoch = in.readInt();
        voterSet.voters.add(slot);
      }
      for (int i = 0; i < voters && in.available() > 0; i++) {
        Voter slot = voterSet.voters.get(i);
        slot.previousAddress = in.readUTF();
        slot.previousInstanceId = in.readLong();
        slot.previousEpoch = in.readInt();
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.STORAGE_FAILURE, "a voter set that cannot be read", e);
    }
    return voterSet;
  }
}
