package elmsail.rpc.messages;

import io.protostuff.Tag;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram in which a gateway tells others what is open at the servers. Each report replaces the
 * sender's one before it of the same scope, so that lost ones do no lasting harm.
 */
public final class LoadReport {
  /** What the sender itself has open. */
  public static final int OWN = 0;

  /** What all gateways of the sender's zone have open. */
  public static final int ZONE = 1;

  /** What all gateways that the sender hears of have open, of all zones. */
  public static final int TOTAL = 2;

  /** The sender's inner address. */
  @Tag(1)
  public String sender = "";

  /** Of the sending process; another one behind the same address counts anew. */
  @Tag(2)
  public long instanceId;

  /** Rises with each report of an instance. */
  @Tag(3)
  public long sequence;

  /** The sender's zone. */
  @Tag(4)
  public String zone = "";

  /** One of the constants above. */
  @Tag(5)
  public int scope;

  /** Servers at which something is open. */
  @Tag(6)
  public List<ServerLoadEntry> servers = new ArrayList<>();
}
