package elmsail.consensus;

import elmsail.rpc.messages.VoterSet;

/** The voter set that a client uses, and updates with newer ones. Used on the client's loop. */
public interface VoterSetSource {
  /** The currently known voter set; without voters if none is known. */
  VoterSet current();

  /** Merges a voter set that a voter responded with, see {@link VoterSets#merge}. */
  void learn(VoterSet newer);
}
