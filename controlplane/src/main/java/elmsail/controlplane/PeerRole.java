package elmsail.controlplane;

import elmsail.rpc.messages.PullRequest;

/** Roles of the processes that pull from a control-plane node. */
enum PeerRole {
  GATEWAY("gateway"),
  STORE("store"),
  CONTROL_PLANE("controlplane");

  private final String wireName;

  PeerRole(String wireName) {
    this.wireName = wireName;
  }

  /** The name on the wire; it never changes. */
  String wireName() {
    return wireName;
  }

  boolean isRoleOf(PullRequest request) {
    return wireName.equals(request.role);
  }
}
