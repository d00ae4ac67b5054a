package elmsail.consensus;

import elmsail.rpc.messages.VoterSet;

/** What a proposer or reader knows of a set's voters. */
public interface VoterSetSource {
  /** As known now; without voter slots if nothing is known. */
  VoterSet current();

  /** Takes what a voter answered: merged by the higher epoch of each voter slot. */
  void learn(VoterSet newer);
}
