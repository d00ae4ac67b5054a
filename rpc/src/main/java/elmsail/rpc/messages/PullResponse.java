package elmsail.rpc.messages;

import io.protostuff.Tag;

/** What is newer than the watcher knows; null parts have not changed. */
public final class PullResponse {
  @Tag(1)
  public long configVersion;

  /** The committed configuration as the operator sent it; null if not newer. */
  @Tag(2)
  public byte[] config;

  @Tag(3)
  public long serverListEpoch;

  @Tag(4)
  public long serverListVersion;

  /** The complete list of servers as JSON entries of the platform; null if not newer. */
  @Tag(5)
  public byte[] servers;

  /** The age of that list in ms; -1 if there is none. */
  @Tag(6)
  public long serverListAgeMs = -1;

  @Tag(7)
  public long viewVersion;

  /** Null if not newer. */
  @Tag(8)
  public ClusterView view;
}
