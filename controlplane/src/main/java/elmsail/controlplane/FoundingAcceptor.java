package elmsail.controlplane;

import elmsail.rpc.messages.FoundingResponse;
import elmsail.rpc.messages.VoterSet;
import java.nio.ByteBuffer;

/**
 * One seed's vote in the single agreement (Paxos, one decree) on the first voters of "head". Pure;
 * the state must be on disk, where there is one, before an answer that grants leaves.
 */
final class FoundingAcceptor {
  private long promised;
  private long acceptedBallot;
  private VoterSet accepted = new VoterSet();

  /** Promises to accept no lower ballot, and tells what was accepted last. */
  FoundingResponse prepare(long ballot) {
    boolean granted = ballot > promised;
    promised = Math.max(promised, ballot);
    return response(granted);
  }

  /** Accepts unless a higher ballot was promised. */
  FoundingResponse accept(long ballot, VoterSet proposal) {
    boolean granted = ballot >= promised && !proposal.voters.isEmpty();
    if (granted) {
      promised = ballot;
      acceptedBallot = ballot;
      accepted = proposal;
    }
    return response(granted);
  }

  private FoundingResponse response(boolean granted) {
    FoundingResponse response = new FoundingResponse();
    response.granted = granted;
    response.promisedBallot = promised;
    response.acceptedBallot = acceptedBallot;
    response.acceptedVoterSet = accepted;
    return response;
  }

  /** As a record on disk. */
  byte[] bytes() {
    byte[] set = VoterSetValue.bytes(accepted);
    return ByteBuffer.allocate(2 * Long.BYTES + set.length)
        .putLong(promised)
        .putLong(acceptedBallot)
        .put(set)
        .array();
  }

  /** From a record; null is a state without votes. */
  static FoundingAcceptor of(byte[] bytes) {
    FoundingAcceptor acceptor = new FoundingAcceptor();
    if (bytes != null) {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      acceptor.promised = in.getLong();
      acceptor.acceptedBallot = in.getLong();
      byte[] set = new byte[in.remaining()];
      in.get(set);
      acceptor.accepted = VoterSetValue.of(set);
    }
    return acceptor;
  }
}
