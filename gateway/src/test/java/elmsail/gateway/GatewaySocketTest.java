package elmsail.gateway;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** A test of a gateway over sockets: starts a harness before each test and closes it after it. */
abstract class GatewaySocketTest {
  GatewayTestHarness harness;

  @BeforeEach
  final void startHarness() throws Exception {
    harness = new GatewayTestHarness();
  }

  @AfterEach
  final void closeHarness() {
    harness.close();
  }
}
