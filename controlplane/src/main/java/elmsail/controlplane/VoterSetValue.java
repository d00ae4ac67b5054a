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
  private static final int MOST_SLOTS = 64;

  private VoterSetValue() {}

  static byte[] bytes(VoterSet voterSet) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeInt(voterSet.voters.size());
      for (Voter slot : voterSet.voters) {
        out.writeUTF(slot.address);
        out.writeUTF(slot.machine);
        out.writeLong(slot.instanceId);
        out.writeInt(slot.epoch);
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.INTERNAL, "a voter set", e);
    }
    return bytes.toByteArray();
  }

  /** Null is a voter set without voter slots. */
  static VoterSet of(byte[] bytes) {
    VoterSet voterSet = new VoterSet();
    if (bytes == null) {
      return voterSet;
    }
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
      int count = in.readInt();
      if (count < 0 || count > MOST_SLOTS) {
        throw new ElmsailException(ErrorCode.MALFORMED, "voter slots: " + count);
      }
      for (int i = 0; i < count; i++) {
        String address = in.readUTF();
        voterSet.voters.add(slot(address, in.readUTF(), in.readLong(), in.readInt()));
      }
    } catch (IOException e) {
      throw new ElmsailException(ErrorCode.MALFORMED, "a voter set", e);
    }
    return voterSet;
  }

  static Voter slot(String address, String station, long instanceId, int epoch) {
    Voter slot = new Voter();
    slot.address = address;
    slot.machine = station;
    slot.instanceId = instanceId;
    slot.epoch = epoch;
    return slot;
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
