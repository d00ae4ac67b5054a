package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * One page: records as they are on disk, in the order of their names; {@link #lastPage} if no
 * record follows.
 */
public final class StateTransferResponse {
  @Tag(1)
  public List<Blob> records = new ArrayList<>();

  @Tag(2)
  public boolean lastPage;

  @Tag(3)
  public boolean voting;

  /** The instance that responds; only the one that acknowledged the claim is a valid source. */
  @Tag(4)
  public long instanceId;
}
