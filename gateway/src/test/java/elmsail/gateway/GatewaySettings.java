package elmsail.gateway;

import elmsail.runtime.Settings;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Settings of a gateway on loopback, for tests. */
public final class GatewaySettings {
  /** The time limit after which a removed key must be rejected. */
  public static final long REVOKE_MS = 5_000;

  private GatewaySettings() {}

  /** Settings of a gateway in zone "z" that listens at these addresses, given as ip:port. */
  public static Settings listeningAt(String front, String ready) {
    return new Settings(
        "c1",
        "gateway",
        "counter",
        Set.of("counter"),
        "127.0.0.1",
        "z",
        "r",
        Map.of(),
        Map.of("front", front, "ready", ready),
        0,
        0,
        List.of(),
        true,
        true,
        new Settings.Limits(1, 256, 4_000, 100, 0),
        null,
        Set.of(),
        1,
        new Settings.Bounds(
            3_000, 4_000, 5_000, 3_000, 8_000, 200, 2_000, 120, 120_000, 3_000, 1_000, 0.1, 2_000,
            REVOKE_MS, 0, 0, 3_000),
        null);
  }
}
