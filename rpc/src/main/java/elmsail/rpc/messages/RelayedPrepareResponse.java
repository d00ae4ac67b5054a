package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** The votes that a relayed phase 1 has brought. */
public final class RelayedPrepareResponse {
  /** Indices in the request's voter set, in the order of {@link #votes}. */
  @Tag(1)
  public List<Integer> slots = new ArrayList<>();

  /** The responses of those voters; missing ones did not respond in time. */
  @Tag(2)
  public List<VoteResponse> votes = new ArrayList<>();
}
