package elmsail.rpc.messages;

import java.util.ArrayList;
import java.util.List;

/**
 * The page: records as the disk holds them, in the order of their names; {@code end} if nothing is
 * behind it.
 */
public final class StateTransferResponse {
  public List<Blob> records = new ArrayList<>();
  public boolean end;
  public boolean voting;

  /** The instance that answers: another one than that which acknowledged the claim is no source. */
  public long instanceId;
}
