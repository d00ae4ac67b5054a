package elmsail.consensus;

import elmsail.rpc.messages.VoterSet;

/** The asker's knowledge of a set's voters. */
public interface VoterSetSource {
  /** As known now; without voter slots if nothing is known. */
  VoterSet of();

  /** A voter told this one: to be merged by the higher epoch of each voter slot. */
  void response(VoterSet newer);
}
