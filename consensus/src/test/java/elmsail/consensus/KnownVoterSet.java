package elmsail.consensus;

import elmsail.rpc.messages.VoterSet;

/** The voter set that a client of a test knows; it learns newer ones. */
final class KnownVoterSet implements VoterSetSource {
  private VoterSet current;

  KnownVoterSet(VoterSet initial) {
    current = initial;
  }

  @Override
  public VoterSet current() {
    return current;
  }

  @Override
  public void learn(VoterSet newer) {
    current = VoterSets.merge(current, newer);
  }
}
