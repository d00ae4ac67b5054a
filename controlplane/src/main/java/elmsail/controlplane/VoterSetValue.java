package elmsail.controlplane;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;

/** Voter sets as a register's values. None is ever changed once it was passed on. */
final class VoterSetValue {
  private static final int MAX_VOTERS = 64;

  private VoterSetValue() {}

  static byte[] encode(VoterSet voterSet) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeInt(voterSet.voters.size());
      for (Voter voter : voterSet.voters) {
        out.writeUTF(voter.address);
        out.writeUTF(voter.machine);
        out.writeLong(voter.instanceId);
        out.writeInt(voter.epoch);
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "a voter set", e);
    }
    return bytes.toByteArray();
  }

  /** Null is a voter set without voter slots. */
  static VoterSet decode(byte[] bytes) {
    VoterSet voterSet = new VoterSet();
    if (bytes == null) {
      return voterSet;
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      int count = in.readInt();
      if (count < 0 || count > MAX_VOTERS) {
        throw new ElmsailException(ErrorCode.MALFORMED, "voter slots: " + count);
      }
      for (int i = 0; i < count; i++) {
        String address = in.readUTF();
        voterSet.voters.add(voter(address, in.readUTF(), in.readLong(), in.readInt()));
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.MALFORMED, "a voter set", e);
    }
    return voterSet;
  }

  static Voter voter(String address, String machine, long instanceId, int epoch) {
    Voter voter = new Voter();
    voter.address = address;
    voter.machine = machine;
    voter.instanceId = instanceId;
    voter.epoch = epoch;
    return voter;
  }

  /** The voter slot that the process at that address holds, or -1. */
  static int slotOf(VoterSet voterSet, String address) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      if (voterSet.voters.get(i).address.equals(address)) {
        return i;
      }
    }
    return -1;
  }
}
