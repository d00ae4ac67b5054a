package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram in which a gateway reports the load that is open at the servers. Each report replaces
 * the sender's previous one of the same scope, so that lost datagrams do no lasting harm.
 */
public final class LoadReport {
  /** Scope: the load of the sender alone. */
  public static final int OWN = 0;

  /** Scope: the load of all gateways of the sender's zone. */
  public static final int ZONE = 1;

  /** Scope: the load of all gateways of all zones that the sender receives reports of. */
  public static final int TOTAL = 2;

  /** The sender's RPC address. */
  @Tag(1)
  public String sender = "";

  /** The sender's instance id; another one at the same address starts a new sequence. */
  @Tag(2)
  public long instanceId;

  /** Increases with each report of an instance. */
  @Tag(3)
  public long sequence;

  /** The sender's zone. */
  @Tag(4)
  public String zone = "";

  /** One of {@link #OWN}, {@link #ZONE}, {@link #TOTAL}. */
  @Tag(5)
  public int scope;

  /** The servers with open load; others have none. */
  @Tag(6)
  public List<ServerLoadEntry> servers = new ArrayList<>();
}
