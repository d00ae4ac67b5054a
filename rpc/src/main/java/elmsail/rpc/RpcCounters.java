package elmsail.rpc;

/** How inner calls went, since the start; read on the loop. */
public final class RpcCounters {
  public long calls;
  public long answers;

  /** Calls that the peer answered with a code. */
  public long failures;

  public long unsent;
  public long broken;
  public long silent;
  public long full;

  /** Answers to calls that had already ended, or that never went out on that connection. */
  public long late;

  /** Answers that were ready after their connection had closed. */
  public long unheard;

  /** Connections closed for a frame that was none, or that was out of place. */
  public long garbled;

  /** Connections closed because the process called is not the one that was meant. */
  public long misdirected;

  /** Connections closed because the other side speaks another version of the protocol. */
  public long unsupportedVersions;

  /** Answers whose type is not the one that the call waits for. */
  public long otherTypes;

  /** Connections that led to another instance than the one before at the same address. */
  public long newInstances;

  /** Connections closed for their silence. */
  public long silentConnections;

  public long asks;
  public long links;
  public long refusedConnects;
  public long pings;
  public long bytesIn;
  public long bytesOut;
}
