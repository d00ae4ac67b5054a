package willowdoor.front.clients;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Ends a client's connection so that the client receives everything that was written. Closing a
 * socket with unread bytes resets the connection, and the reset may discard the last response.
 * Therefore only the sending side is shut down first. Input is then read and dropped until the
 * client has ended its side too or a time limit passes.
 */
final class LingeringClose {

  /**
   * The time that the client has to end its side. A peer that is still connected does so within
   * some round trips.
   */
  static final long LINGER_MS = 500;

  private final Channel channel;
  private final ReadAhead input;
  private final Runnable onSendingEnded;
  private Future<?> timer;
  private boolean begun;

  /**
   * {@code onSendingEnded} runs when everything is sent and only the client's end of the connection
   * is outstanding.
   */
  LingeringClose(Channel channel, ReadAhead input, Runnable onSendingEnded) {
    this.channel = channel;
    this.input = input;
    this.onSendingEnded = onSendingEnded;
  }

  boolean begun() {
    return begun;
  }

  /** Begins the close once everything that was written before is sent. */
  void begin() {
    if (!begun) {
      begun = true;
      input.discard();
      channel
          .writeAndFlush(Unpooled.EMPTY_BUFFER)
          .addListener((ChannelFuture f) -> endSending(f.isSuccess()));
    }
  }

  /**
   * Like {@link #begin()}, but bounds the sending too: bytes that the peer does not read in time
   * are lost. Used for a peer that has not sent a proper request.
   */
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

  /**
   * Closes the connection at once. Used if the descriptor is needed, the time limit has passed, or
   * there is no input for which a close would cause a reset.
   */
  void closeNow() {
    begun = true;
    channel.close();
  }

  /**
   * Resets the connection, so that even a client that takes the end of the connection for the end
   * of the response can tell that the response is incomplete.
   */
  void reset() {
    begun = true;
    channel.config().setOption(ChannelOption.SO_LINGER, 0);
    channel.close();
  }

  /** Called when the connection has ended. */
  void onClosed() {
    begun = true;
    if (timer != null) {
      timer.cancel(false);
    }
  }
}
