package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** What the voters answered to a relayed first round. */
public final class RelayedPrepareResponse {
  /** Positions in the round's voter set, in the order of {@link #votes}. */
  @Tag(1)
  public List<Integer> slots = new ArrayList<>();

  /** The answers of those voters; voters that are missing did not answer. */
  @Tag(2)
  public List<VoteResponse> votes = new ArrayList<>();
}
