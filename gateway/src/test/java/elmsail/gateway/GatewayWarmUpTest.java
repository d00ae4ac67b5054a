package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.startsWith;

import elmsail.runtime.NettyEventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class GatewayWarmUpTest {

  @Test
  void servesOneStream() throws Exception {
    NettyEventLoop loop = new NettyEventLoop();
    try {
      CompletableFuture<String> received = new CompletableFuture<>();
      loop.execute(
          () ->
              GatewayWarmUp.run(loop)
                  .whenComplete(
                      (text, failure) -> {
                        if (failure == null) {
                          received.complete(text);
                        } else {
                          received.completeExceptionally(failure);
                        }
                      }));
      assertThat(
          received.get(RawConnection.WAIT_MS, TimeUnit.MILLISECONDS),
          allOf(
              startsWith("HTTP/1.1 200"),
              containsString("data: a"),
              containsString("data: b"),
              containsString("\r\n0\r\n\r\n")));
    } finally {
      loop.shutdown().awaitUninterruptibly(5, TimeUnit.SECONDS);
    }
  }
}
