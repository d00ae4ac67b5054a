package elmsail.rpc.messages;

/** An attempt at a key: compared by round, then by who tries; round 0 is none. */
public final class Ballot {
  public long round;
  public long who;
}
