package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * A gateway's counts of started requests. Counts of a window only grow, and a report holds their
 * totals: repeats and reports that overtake each other do no harm. Left out is what the receiver
 * has acknowledged. Answered with a {@link UsageReportResponse}.
 */
public final class UsageReport {
  /** The gateway's instance id; another one begins to count anew. */
  @Tag(1)
  public long instanceId;

  @Tag(2)
  public List<UsageWindow> windows = new ArrayList<>();
}
