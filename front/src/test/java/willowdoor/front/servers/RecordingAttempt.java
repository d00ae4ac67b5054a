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
import willowdoor.front.requests.OutgoingRequest;
import willowdoor.policy.GatewayApi.Status;

/** An attempt that records its end, without the table of requests above it. */
final class RecordingAttempt extends Attempt {

  /** The body length of an ordinary request, in bytes. */
  static final int LENGTH = 10;

  /** Each end, followed by the response body if there is one. */
  final BlockingQueue<String> ends = new LinkedBlockingQueue<>();

  /** The policy module's reaction to the end. */
  Consumer<Status> next = status -> {};

  RecordingAttempt(OutgoingRequest message, double endsAt) {
    this(message, endsAt, Double.POSITIVE_INFINITY);
  }

  RecordingAttempt(OutgoingRequest message, double endsAt, double writtenBy) {
    super(message, endsAt, writtenBy);
  }

  /** A complete request with a body of this length. */
  static OutgoingRequest message(int length) {
    return message(length, true);
  }

  /** A request whose remaining body has still to arrive. */
  static OutgoingRequest inPieces() {
    return message(10, false);
  }

  private static OutgoingRequest message(int length, boolean whole) {
    DefaultHttpHeaders headers = new DefaultHttpHeaders();
    OutgoingRequest.setFraming(headers, headers, whole, length, true);
    return new OutgoingRequest(
        HttpMethod.POST, "/buy", headers, Unpooled.copiedBuffer(new byte[length]), whole, () -> {});
  }

  @Override
  public void onBeyondPrefix() {}

  @Override
  public void onLastPiece() {}

  @Override
  public void onResponseHead() {}

  @Override
  public boolean onStreamedResponse(HttpResponse head) {
    return false;
  }

  @Override
  public void onResponsePiece(ByteBuf piece) {
    piece.release();
  }

  @Override
  protected void onEnd(Status status, HttpResponse head, ByteBuf body) {
    ends.add(status + (body == null ? "" : " " + body.toString(StandardCharsets.ISO_8859_1)));
    next.accept(status);
  }
}
