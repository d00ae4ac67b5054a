package elmsail.rpc.messages;

import java.util.ArrayList;
import java.util.List;

/** What the voters answered to a relayed first round. */
public final class RelayedPrepareResponse {
  /** Positions in the round's voter set, in the order of {@link #votes}. */
  public List<Integer> slots = new ArrayList<>();

  /** The answers of those voters; voters that are missing did not answer. */
  public List<VoteResponse> votes = new ArrayList<>();
}
