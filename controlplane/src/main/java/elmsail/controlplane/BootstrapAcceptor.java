package elmsail.controlplane;

import elmsail.rpc.messages.FoundingResponse;
import elmsail.rpc.messages.VoterSet;
import java.nio.ByteBuffer;

/**
 * One seed's acceptor in the agreement on the initial control-plane voters: single-decree Paxos.
 * Does no I/O: where there is a disk, the caller writes the state before it sends a response that
 * grants the request.
 */
final class BootstrapAcceptor {
  private long promisedBallot;
  private long acceptedBallot;
  private VoterSet acceptedVoterSet = new VoterSet();

  /**
   * Promises to accept no lower ballot; the same ballot is promised again, as a proposer resends
   * its request. The response carries the voter set that was accepted last.
   */
  FoundingResponse prepare(long ballot) {
    boolean granted = ballot >= promisedBallot;
    promisedBallot = Math.max(promisedBallot, ballot);
    return response(granted);
  }

  /** Accepts the proposal unless a higher ballot was promised. */
  FoundingResponse accept(long ballot, VoterSet proposal) {
    boolean granted = ballot >= promisedBallot && !proposal.voters.isEmpty();
    if (granted) {
      promisedBallot = ballot;
      acceptedBallot = ballot;
      acceptedVoterSet = proposal;
    }
    return response(granted);
  }

  private FoundingResponse response(boolean granted) {
    FoundingResponse response = new FoundingResponse();
    response.granted = granted;
    response.promisedBallot = promisedBallot;
    response.acceptedBallot = acceptedBallot;
    response.acceptedVoterSet = acceptedVoterSet;
    return response;
  }

  /** Encodes the state as a record on disk. */
  byte[] encode() {
    byte[] encodedVoterSet = VoterSetValue.encode(acceptedVoterSet);
    return ByteBuffer.allocate(2 * Long.BYTES + encodedVoterSet.length)
        .putLong(promisedBallot)
        .putLong(acceptedBallot)
        .put(encodedVoterSet)
        .array();
  }

  /** Decodes a record; null gives the state without promises. */
  static BootstrapAcceptor decode(byte[] bytes) {
    BootstrapAcceptor acceptor = new BootstrapAcceptor();
    if (bytes != null) {
      ByteBuffer in = ByteBuffer.wrap(bytes);
      acceptor.promisedBallot = in.getLong();
      acceptor.acceptedBallot = in.getLong();
      byte[] encodedVoterSet = new byte[in.remaining()];
      in.get(encodedVoterSet);
      acceptor.acceptedVoterSet = VoterSetValue.decode(encodedVoterSet);
    }
    return acceptor;
  }
}
