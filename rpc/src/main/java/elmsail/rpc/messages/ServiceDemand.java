package elmsail.rpc.messages;

import io.protostuff.Tag;

/** What one gateway has open at the servers of one service in one zone. */
public final class ServiceDemand {
  /** The service's name in the configuration. */
  @Tag(1)
  public String service = "";

  /** The zone of the servers. */
  @Tag(2)
  public String zone = "";

  /** Requests and items of batch jobs that run or wait there, or that no server has taken. */
  @Tag(3)
  public int openRequests;
}
