package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram in which a gateway reports open requests by server. Each report replaces the sender's
 * previous one of the same scope, so that a lost datagram does no lasting harm.
 */
public final class LoadReport {
  /** Scope: the open requests of the sender. */
  public static final int OWN = 0;

  /** Scope: the open requests of all gateways of the sender's zone. */
  public static final int ZONE = 1;

  /** Scope: the open requests of all gateways of all zones that the sender knows of. */
  public static final int TOTAL = 2;

  /** The sender's RPC address. */
  @Tag(1)
  public String sender = "";

  /** The sending process; another process at the same address begins a new sequence. */
  @Tag(2)
  public long instanceId;

  /** Increases with each report of an instance. */
  @Tag(3)
  public long sequence;

  /** The sender's zone. */
  @Tag(4)
  public String zone = "";

  /** One of the constants above. */
  @Tag(5)
  public int scope;

  /** The servers with open requests. */
  @Tag(6)
  public List<ServerLoadEntry> servers = new ArrayList<>();
}
