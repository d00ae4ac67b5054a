package elmsail.soak;

import java.util.List;

/** The roles of {@code deploy/system.toml}, with the program of each. */
enum ProcessRole {
  GATEWAY("elmsail.app.GatewayMain", "counter", 7_720),
  CONTROL_PLANE("elmsail.app.ControlPlaneMain", "head_office", 7_721),
  STORE("elmsail.app.ControlPlaneMain", "vault", 7_720);

  final String program;
  final String serves;
  final int innerPort;

  ProcessRole(String program, String serves, int innerPort) {
    this.program = program;
    this.serves = serves;
    this.innerPort = innerPort;
  }

  boolean hasDisk() {
    return this != GATEWAY;
  }

  /** The names of the addresses that it answers others at. */
  List<String> slots() {
    return switch (this) {
      case GATEWAY -> List.of("front", "ready");
      case CONTROL_PLANE -> List.of("control");
      case STORE -> List.of();
    };
  }
}
