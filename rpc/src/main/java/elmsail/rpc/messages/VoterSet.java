package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * The voter slots of one set, in their order. A message of an older voter set is refused, and
 * answered with the newer.
 */
public final class VoterSet {
  @Tag(1)
  public List<Voter> voters = new ArrayList<>();
}
