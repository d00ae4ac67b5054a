package elmsail.consensus;

import elmsail.rpc.messages.VoterSet;

/** The voter set of a test's client, which merges newer voter sets. */
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
