package elmsail.rpc.messages;

import io.protostuff.Tag;

/** What is newer; a null part has not changed. */
public final class PullResponse {
  @Tag(1)
  public long configVersion;

  /** The configuration as the operator sent it, decided; null if not newer. */
  @Tag(2)
  public byte[] config;

  @Tag(3)
  public long serverListEpoch;

  @Tag(4)
  public long serverListVersion;

  /** The servers' list, whole, as JSON entries of the platform; null if not newer. */
  @Tag(5)
  public byte[] servers;

  /** How old that list is, in ms; -1: there is none. */
  @Tag(6)
  public long serverListAgeMs = -1;

  @Tag(7)
  public long viewVersion;

  /** Null if not newer. */
  @Tag(8)
  public ClusterView view;
}
