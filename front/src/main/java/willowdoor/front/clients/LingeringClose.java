package willowdoor.front.clients;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Ends a client's connection so that the client gets all that was written: a close over bytes that
 * are not read resets the connection, which may take the last answer with it. So the sending ends
 * first; what still comes is read and dropped until the client has ended its side, too, or a bound
 * passes.
 */
final class LingeringClose {

  /**
   * So long the client has to end its side: a peer that is there does so within some round trips.
   */
  static final long LINGER_MS = 500;

  private final Channel channel;
  private final ReadAhead input;
  private final Runnable onSendingEnded;
  private Future<?> timer;
  private boolean begun;

  /** Tells when all is sent and only the client's end is waited for. */
  LingeringClose(Channel channel, ReadAhead input, Runnable onSendingEnded) {
    this.channel = channel;
    this.input = input;
    this.onSendingEnded = onSendingEnded;
  }

  boolean begun() {
    return begun;
  }

  /** Once all that was written before has gone out. */
  void begin() {
    if (!begun) {
      begun = true;
      input.discard();
      channel
          .writeAndFlush(Unpooled.EMPTY_BUFFER)
          .addListener((ChannelFuture f) -> endSending(f.isSuccess()));
    }
  }

  /** Likewise, but what the peer does not read in time is lost to it: it owed a request. */
  void beginWithTimeout() {
    begin();
    startTimer();
  }

  private void endSending(boolean written) {
    if (written && channel instanceof SocketChannel socket) {
      startTimer();
      onSendingEnded.run();
      socket.shutdownOutput();
    } else {
      channel.close();
    }
  }

  private void startTimer() {
    if (timer == null && channel.isOpen()) {
      timer = channel.eventLoop().schedule(this::closeNow, LINGER_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Where the descriptor is needed, or no byte has come that a reset could answer. */
  void closeNow() {
    begun = true;
    channel.close();
  }

  /** Tells even a client that takes the connection's end for the answer's that it is not whole. */
  void reset() {
    begun = true;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /** The connection has ended. */
  void onClosed() {
    begun = true;
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
