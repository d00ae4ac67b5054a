package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** A page of records as they are stored, in the order of names. */
public final class StateTransferResponse {
  @Tag(1)
  public List<Blob> records = new ArrayList<>();

  /** Whether no name follows. */
  @Tag(2)
  public boolean lastPage;

  /** Whether the responder votes. */
  @Tag(3)
  public boolean voting;

  /**
   * The responder's instance id; one that differs from the one that acknowledged the take-over is
   * no valid source.
   */
  @Tag(4)
  public long instanceId;
}
