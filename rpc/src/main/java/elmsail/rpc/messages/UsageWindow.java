package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/** Counts of one window of a {@link UsageReport}. */
public final class UsageWindow {
  /** The window's number since the start of 1970. */
  @Tag(1)
  public long number;

  @Tag(2)
  public List<UsageCount> counts = new ArrayList<>();
}
