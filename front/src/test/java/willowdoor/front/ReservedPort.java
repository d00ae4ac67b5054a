package willowdoor.front;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SocketChannel;

/**
 * A port on loopback for a process that is yet to start, held until it is closed: bound by a socket
 * that never listens, so that the system gives it to no other process of its own accord, while one
 * that is told to listen at it can (with SO_REUSEADDR, as servers set it). A port that is found and
 * let go of is sooner or later another process's.
 */
public final class ReservedPort implements Closeable {
  private final SocketChannel holder;
  private final InetSocketAddress address;

  private ReservedPort(int port) throws IOException {
    holder = SocketChannel.open();
    try {
      holder.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      holder.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
    } catch (IOException e) {
      holder.close();
      throw e;
    }
    address = (InetSocketAddress) holder.getLocalAddress();
  }

  /** A port that was free. */
  public static ReservedPort any() throws IOException {
    return new ReservedPort(0);
  }

  /** The address, on loopback. */
  public InetSocketAddress address() {
    return address;
  }

  /** The port's number. */
  public int port() {
    return address.getPort();
  }

  @Override
  public void close() throws IOException {
    holder.close();
  }
}
