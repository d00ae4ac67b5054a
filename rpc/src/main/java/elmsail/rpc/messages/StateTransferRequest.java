package elmsail.rpc.messages;

/** A page of all that a set's member keeps, behind a name in order. */
public final class StateTransferRequest {
  public String set = "";
  public String after = "";
  public int mostBytes;
  public VoterSet voterSet = new VoterSet();

  /** Blobs' names without their bytes. */
  public boolean bare;

  /** Also from one that knows to be replaced: its successor in the voter slot isn't voting. */
  public boolean ofReplaced;
}
