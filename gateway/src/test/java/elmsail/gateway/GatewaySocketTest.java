package elmsail.gateway;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base class of tests with a gateway over sockets; each test gets a harness of its own. */
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
