package elmsail.runtime;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import java.util.concurrent.CompletableFuture;

/** Binds the sockets that a process listens at, with one error for an address it cannot have. */
public final class ListenAddress {

  private ListenAddress() {}

  /**
   * Binds an address; may be called from any thread.
   *
   * @param bootstrap of a TCP server or of a datagram socket, with its loop and its handlers
   * @param address ip:port; port 0 for a free one
   * @return completes on the event loop with the bound channel; fails with {@link
   *     AddressUnavailableException} if the address cannot be bound
   * @throws ElmsailException {@code INVALID_ARGUMENT} if the text is not an address
   */
  public static CompletableFuture<Channel> bind(AbstractBootstrap<?, ?> bootstrap, String address) {
    CompletableFuture<Channel> bound = new CompletableFuture<>();
    ChannelFuture binding = bootstrap.bind(Addresses.parse(address));
    binding.addListener(
        done -> {
          if (done.isSuccess()) {
            bound.complete(binding.channel());
          } else {
            bound.completeExceptionally(new AddressUnavailableException(address, done.cause()));
          }
        });
    return bound;
  }
}
