package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** The responses of the voters to a relayed prepare. */
public final class RelayedPrepareResponse {
  /** Slots of the voter set, in the order of {@link #votes}. */
  @Tag(1)
  public List<Integer> slots = new ArrayList<>();

  /** The responses of those voters; a missing voter did not respond. */
  @Tag(2)
  public List<VoteResponse> votes = new ArrayList<>();
}
