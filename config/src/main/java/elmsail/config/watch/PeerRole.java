package elmsail.config.watch;

import elmsail.rpc.messages.PullRequest;

/** The role of a process that watches control-plane nodes. */
public enum PeerRole {
  /** Serves clients; needs the server list. */
  GATEWAY("gateway"),

  /** Stores batch jobs; needs no server list. */
  STORE("store"),

  /** A control-plane node, which watches the others. */
  CONTROL_PLANE("controlplane");

  private final String wireName;

  PeerRole(String wireName) {
    this.wireName = wireName;
  }

  /** The name on the wire; it never changes. */
  public String wireName() {
    return wireName;
  }

  /** Whether the sender of the request has this role. */
  public boolean isRoleOf(PullRequest request) {
    return wireName.equals(request.role);
  }
}
