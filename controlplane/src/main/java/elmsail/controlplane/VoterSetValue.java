package elmsail.controlplane;

import elmsail.rpc.messages.Voter;
import elmsail.rpc.messages.VoterSet;

/**
 * Codec of voter sets in register values and in the bootstrap record. A voter set must not be
 * modified after it was passed to another component. The replicas' own voter-set records have
 * another format.
 */
final class VoterSetValue {
  private static final int MAX_VOTERS = 64;
  private static final String VALUE_NAME = "voter set";

  private VoterSetValue() {}

  /** Encodes a voter set without the information on the voters that its voters replaced. */
  static byte[] encode(VoterSet voterSet) {
    return ValueCodec.encode(
        VALUE_NAME,
        out -> {
          out.writeInt(voterSet.voters.size());
          for (Voter voter : voterSet.voters) {
            out.writeUTF(voter.address);
            out.writeUTF(voter.machine);
            out.writeLong(voter.instanceId);
            out.writeInt(voter.epoch);
          }
        });
  }

  /**
   * Decodes a voter set that {@link #encode} wrote; null yields a voter set without voters.
   *
   * @throws elmsail.runtime.ElmsailException MALFORMED if the bytes cannot be decoded
   */
  static VoterSet decode(byte[] bytes) {
    if (bytes == null) {
      return new VoterSet();
    }
    return ValueCodec.decode(
        VALUE_NAME,
        bytes,
        in -> {
          VoterSet voterSet = new VoterSet();
          int count = ValueCodec.readCount(in, VALUE_NAME, MAX_VOTERS);
          for (int i = 0; i < count; i++) {
            String address = in.readUTF();
            voterSet.voters.add(voter(address, in.readUTF(), in.readLong(), in.readInt()));
          }
          return voterSet;
        });
  }

  /** Creates a voter with that RPC address, machine, instance id and epoch. */
  static Voter voter(String address, String machine, long instanceId, int epoch) {
    Voter voter = new Voter();
    voter.address = address;
    voter.machine = machine;
    voter.instanceId = instanceId;
    voter.epoch = epoch;
    return voter;
  }

  /** The slot of the voter at that RPC address; -1 if there is none. */
  static int slotOf(VoterSet voterSet, String address) {
    for (int i = 0; i < voterSet.voters.size(); i++) {
      if (voterSet.voters.get(i).address.equals(address)) {
        return i;
      }
    }
    return -1;
  }
}
