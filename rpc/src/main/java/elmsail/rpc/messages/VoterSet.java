package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * The voters of one set by slot. A request under an older voter set is rejected with the newer one.
 */
public final class VoterSet {
  @Tag(1)
  public List<Voter> voters = new ArrayList<>();
}
