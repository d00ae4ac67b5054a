package elmsail.rpc.messages;

import io.protostuff.Tag;

/** How many requests of a tenant have started in one {@link UsageWindow}, at one gateway. */
public final class UsageCount {
  /** The tenant's name in the configuration. */
  @Tag(1)
  public String tenant = "";

  @Tag(2)
  public long requests;
}
