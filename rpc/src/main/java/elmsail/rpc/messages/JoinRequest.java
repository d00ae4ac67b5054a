package elmsail.rpc.messages;

/**
 * A process with a new life, or a new one, takes a voter slot: acknowledged only once it is on
 * disk.
 */
public final class JoinRequest {
  public String set = "";
  public int slot;
  public Voter holder = new Voter();
}
