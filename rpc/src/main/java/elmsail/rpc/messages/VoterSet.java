package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** The voter slots of one set, in their fixed order. */
public final class VoterSet {
  @Tag(1)
  public List<Voter> voters = new ArrayList<>();
}
