package elmsail.rpc.messages;

/** What was accepted last at a key; the value is left out if it was accepted at {@code known}. */
public final class ReadRequest {
  public String set = "";
  public String key = "";
  public Ballot known = new Ballot();
  public VoterSet voterSet = new VoterSet();

  /** Only the ballot is wanted, never the value. */
  public boolean bare;
}
