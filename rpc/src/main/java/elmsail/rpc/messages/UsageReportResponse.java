package elmsail.rpc.messages;

import io.protostuff.Tag;

/** The response to a {@link UsageReport}: its counts are in the responding process's memory. */
public final class UsageReportResponse {
  /** Whether the process holds the singleton lease: other nodes need no reports then. */
  @Tag(1)
  public boolean holdsLease;

  /** The responding process; another one at its address knows of no counts. */
  @Tag(2)
  public long processId;
}
