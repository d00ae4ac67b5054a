package elmsail.gateway.servers;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** A request that is never written to a connection and ignores all events. */
abstract class NoOpRequest implements OutgoingRequest, AttemptListener {
  @Override
  public String id() {
    return "a";
  }

  @Override
  public Prompt prompt() {
    return Prompt.NONE;
  }

  @Override
  public boolean isBatchItem() {
    return false;
  }

  @Override
  public FullHttpRequest toHttpRequest(String serverId) {
    throw new AssertionError("this request must not be written");
  }

  @Override
  public void onHead(HttpResponse head) {}

  @Override
  public void onData(ByteBuf bytes) {
    bytes.release();
  }

  @Override
  public void onComplete() {}

  @Override
  public void onFailure(boolean sent) {}
}
