package elmsail.rpc.messages;

/** What is newer; a null part has not changed. */
public final class PullResponse {
  public long edition;

  /** The configuration as the operator sent it, decided; null if not newer. */
  public byte[] config;

  public long listEpoch;
  public long listVersion;

  /** The servers' list, whole, as JSON entries of the platform; null if not newer. */
  public byte[] servers;

  /** How old that list is, in ms; -1: there is none. */
  public long listAgeMs = -1;

  public long viewVersion;

  /** Null if not newer. */
  public ClusterView view;
}
