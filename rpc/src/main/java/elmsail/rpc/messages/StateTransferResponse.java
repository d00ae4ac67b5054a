package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * The page: records as the disk holds them, in the order of their names; {@code end} if nothing is
 * behind it.
 */
public final class StateTransferResponse {
  @Tag(1)
  public List<Blob> records = new ArrayList<>();

  @Tag(2)
  public boolean lastPage;

  @Tag(3)
  public boolean voting;

  /** The instance that answers: another one than that which acknowledged the claim is no source. */
  @Tag(4)
  public long instanceId;
}
