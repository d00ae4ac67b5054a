package elmsail.rpc.messages;

import io.protostuff.Tag;

/** What is newer than what a {@link PullRequest} named; a part that is null has not changed. */
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

  /** The complete list of servers, as JSON entries of the platform; null if not newer. */
  @Tag(5)
  public byte[] servers;

  /** How old that list is; -1 if there is none. */
  @Tag(6)
  public long serverListAgeMs = -1;

  @Tag(7)
  public long viewVersion;

  /** Null if not newer. */
  @Tag(8)
  public ClusterView view;

  /**
   * For how long, at the moment of this response, the sender had not heard from a majority that
   * nothing newer than {@link #configVersion} is committed; -1 if it does not say.
   */
  @Tag(9)
  public long configConfirmedAgeMs = -1;
}
