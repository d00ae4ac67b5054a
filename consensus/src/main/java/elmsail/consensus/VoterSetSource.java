package elmsail.consensus;

import elmsail.rpc.messages.VoterSet;

/** Where a client gets the voter set from, and leaves newer ones. Used on the client's loop. */
public interface VoterSetSource {
  /** The voter set as known now; without voters if none is known. */
  VoterSet current();

  /** Merges a voter set that a voter responded with, see {@link VoterSets#merge}. */
  void learn(VoterSet newer);
}
