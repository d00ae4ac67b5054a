package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.AddressUnavailableException;
import elmsail.runtime.HeldPort;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.ProcessMetrics;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A gateway fails to start if a listen address is in use; the failure names that address. */
@Timeout(60)
class GatewayListenTest {
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private final NettyEventLoop loop = new NettyEventLoop();

  @AfterEach
  void close() throws Exception {
    loop.shutdown().get();
  }

  private CompletableFuture<Gateway> start(String front, String ready) {
    CompletableFuture<Gateway> started = new CompletableFuture<>();
    loop.execute(
        () ->
            Gateway.start(
                    GatewaySettings.listeningAt(front, ready),
                    loop,
                    new FakeClusterState(),
                    new GatewayTestHarness.FakeBatchCalls(),
                    ProcessMetrics.strict())
                .whenComplete(
                    (gateway, failure) -> {
                      if (failure == null) {
                        started.complete(gateway);
                      } else {
                        started.completeExceptionally(failure);
                      }
                    }));
    return started;
  }

  private static String address(ServerSocket socket) {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** The unavailable address that the failed start reports. */
  private static String unavailableAddress(CompletableFuture<Gateway> starting) {
    Throwable failure = assertThrows(ExecutionException.class, starting::get);
    return AddressUnavailableException.findIn(failure).orElseThrow().address();
  }

  @Test
  void clientAddressInUseFailsTheStartBeforeTheReadinessAddressIsBound() throws Exception {
    HeldPort free = HeldPort.any();
    String ready = "127.0.0.1:" + free.port();
    try (ServerSocket taken = new ServerSocket(0, 1, LOOPBACK)) {
      assertThat(unavailableAddress(start(address(taken), ready)), is(address(taken)));
    }
    try (free;
        ServerSocket neverBound = new ServerSocket(free.port(), 1, LOOPBACK)) {
      assertThat(neverBound.getLocalPort(), is(free.port()));
    }
  }

  @Test
  void readinessAddressInUseFailsTheStart() throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, LOOPBACK)) {
      assertThat(unavailableAddress(start("127.0.0.1:0", address(taken))), is(address(taken)));
    }
  }
}
