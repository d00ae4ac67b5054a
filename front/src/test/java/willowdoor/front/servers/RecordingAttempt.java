package willowdoor.front.servers;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import willowdoor.front.requests.Attempt;
import willowdoor.front.requests.Outgoing;
import willowdoor.policy.GatewayApi.Status;

/** An attempt that notes its end, without the table of requests above it. */
final class RecordingAttempt extends Attempt {

  /** Bytes of body of an ordinary request. */
  static final int LENGTH = 10;

  /** Each end, with the answer's body behind it where there is one. */
  final BlockingQueue<String> ends = new LinkedBlockingQueue<>();

  /** What the module does on its end. */
  Consumer<Status> next = status -> {};

  RecordingAttempt(Outgoing message, double endsAt) {
    this(message, endsAt, Double.POSITIVE_INFINITY);
  }

  RecordingAttempt(Outgoing message, double endsAt, double writtenBy) {
    super(message, endsAt, writtenBy);
  }

  /** A request that is whole, with so many bytes of body. */
  static Outgoing message(int length) {
    return message(length, true);
  }

  /** A request of which the rest has still to come. */
  static Outgoing inPieces() {
    return message(10, false);
  }

  private static Outgoing message(int length, boolean whole) {
    DefaultHttpHeaders headers = new DefaultHttpHeaders();
    Outgoing.frame(headers, headers, whole, length, true);
    return new Outgoing(
        HttpMethod.POST, "/buy", headers, Unpooled.copiedBuffer(new byte[length]), whole, () -> {});
  }

  @Override
  public void onSpent() {}

  @Override
  public void onSent() {}

  @Override
  public void onHead() {}

  @Override
  public boolean onBegin(HttpResponse head) {
    return false;
  }

  @Override
  public void onPiece(ByteBuf piece) {
    piece.release();
  }

  @Override
  protected void onEnd(Status status, HttpResponse head, ByteBuf body) {
    ends.add(status + (body == null ? "" : " " + body.toString(StandardCharsets.ISO_8859_1)));
    next.accept(status);
  }
}
