package elmsail.rpc.messages;

/**
 * A new process, or a new instance of one, takes a voter slot: acknowledged only once it is on
 * disk.
 */
public final class JoinRequest {
  public String set = "";
  public int slot;
  public Voter holder = new Voter();
}
