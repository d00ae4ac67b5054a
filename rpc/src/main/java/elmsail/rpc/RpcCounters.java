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

  /** Answers to calls that had already failed. */
  public long late;

  /** Answers that were ready after their connection had closed. */
  public long unheard;

  /** Links closed for a frame that was none. */
  public long garbled;

  /** Links closed for their silence. */
  public long silentLinks;

  public long asks;
  public long links;
  public long refusedConnects;
  public long pings;
  public long bytesIn;
  public long bytesOut;
}
