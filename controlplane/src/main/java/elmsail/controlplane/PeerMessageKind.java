package elmsail.controlplane;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Kinds of the messages that control-plane nodes send each other as {@code OpaqueMessage}. */
enum PeerMessageKind {
  /** A configuration was committed: the receiver reads it from the register at once. */
  CONFIG_COMMITTED("decided"),

  /** The list of stores to decommission was changed: the receiver reads it at once. */
  DECOMMISSIONS_CHANGED("retire"),

  /**
   * Requests the stores from which the receiver has had heartbeats; see {@link
   * StoreHeartbeatQuery}.
   */
  STORE_HEARTBEATS("stores-heard");

  private static final Map<String, PeerMessageKind> BY_WIRE_NAME = new HashMap<>();

  static {
    for (PeerMessageKind kind : values()) {
      BY_WIRE_NAME.put(kind.wireName, kind);
    }
  }

  private final String wireName;

  PeerMessageKind(String wireName) {
    this.wireName = wireName;
  }

  /** The name on the wire; it never changes. */
  String wireName() {
    return wireName;
  }

  /** The kind with that name on the wire; empty if this version has no such kind. */
  static Optional<PeerMessageKind> ofWireName(String wireName) {
    return Optional.ofNullable(BY_WIRE_NAME.get(wireName));
  }
}
