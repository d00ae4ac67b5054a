package elmsail.gateway.servers;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.config.ServerEntry;
import elmsail.gateway.FakeClusterState;
import elmsail.gateway.http.RequestCounters;
import elmsail.runtime.Counters;
import elmsail.runtime.NettyEventLoop;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests how one connection handles each kind of response, truncated or split at every byte. */
class ServerConnectionTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nElmsail-Request-Id: a1\r\n";
  private static final String FIXED_LENGTH = HEAD + "Content-Length: 5\r\n\r\nwhole";
  private static final String CHUNKED =
      HEAD + "Transfer-Encoding: chunked\r\n\r\n2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n";
  private static final String CLOSE_DELIMITED = HEAD + "\r\nwhole";

  /** How the connection ends. */
  private enum End {
    ORDERLY_CLOSE,
    RESET,
    LOCAL_CLOSE
  }

  /** Records the events of one attempt. */
  private static final class RecordingRequest implements OutgoingRequest, AttemptListener {
    private final String id;
    private final StringBuilder body = new StringBuilder();
    private String outcome = "open";

    RecordingRequest(String id) {
      this.id = id;
    }

    @Override
    public String id() {
      return id;
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
      return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
    }

    @Override
    public void onHead(HttpResponse head) {}

    @Override
    public void onData(ByteBuf bytes) {
      body.append(bytes.toString(StandardCharsets.ISO_8859_1));
      bytes.release();
    }

    @Override
    public void onComplete() {
      outcome = outcome.equals("open") ? "complete " + body : outcome + ", called again";
    }

    @Override
    public void onFailure(boolean sent) {
      outcome = outcome.equals("open") ? "failed, sent " + sent : outcome + ", called again";
    }
  }

  private final NettyEventLoop loop = new NettyEventLoop();
  private final Server server =
      new Server(
          new ServerEntry("i-1", "s", "127.0.0.1:1", "z", 24, false, 0),
          1_000,
          new OutlierDetector());
  private final ConnectionPool pool =
      new ConnectionPool(
          loop, loop.eventLoop(), new FakeClusterState(), new RequestCounters(new Counters()));
  private EmbeddedChannel channel;
  private ServerConnection connection;

  @AfterEach
  void close() {
    loop.shutdown();
  }

  private RecordingRequest send(String id) {
    RecordingRequest request = new RecordingRequest(id);
    Attempt attempt = new Attempt(server, request, request, loop.now());
    server.onAttemptStarted(attempt);
    connection.send(attempt);
    return request;
  }

  private RecordingRequest sendOnNewConnection() {
    channel = new EmbeddedChannel();
    connection = new ServerConnection(pool, server);
    connection.addTo(channel.pipeline());
    return send("a1");
  }

  private void receive(String bytes) {
    if (!bytes.isEmpty() && channel.isActive()) {
      channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
    }
  }

  private void end(End end) {
    if (!channel.isActive()) {
      return;
    }
    switch (end) {
      case ORDERLY_CLOSE ->
          channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      case RESET -> channel.pipeline().fireExceptionCaught(new IOException("reset"));
      default -> {
        // closed locally, as at a shutdown of the gateway
      }
    }
    channel.close();
    channel.runPendingTasks();
    channel.finishAndReleaseAll();
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void truncatedResponseFailsTheSentAttempt(End end) {
    for (String response : new String[] {FIXED_LENGTH, CHUNKED, CLOSE_DELIMITED}) {
      for (int cut = 0; cut < response.length(); cut++) {
        RecordingRequest request = sendOnNewConnection();
        receive(response.substring(0, cut));
        end(end);
        boolean completedByClose = end == End.ORDERLY_CLOSE && response.equals(CLOSE_DELIMITED);
        boolean inBody = cut >= CLOSE_DELIMITED.length() - "whole".length();
        String expected =
            completedByClose && inBody
                ? "complete " + response.substring(CLOSE_DELIMITED.length() - "whole".length(), cut)
                : "failed, sent true";
        assertThat(response + " cut at " + cut, request.outcome, is(expected));
      }
    }
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void completeResponseIsDeliveredOnceForEverySplit(End end) {
    for (String response : new String[] {FIXED_LENGTH, CHUNKED, CLOSE_DELIMITED}) {
      for (int split = 0; split < response.length(); split++) {
        RecordingRequest request = sendOnNewConnection();
        receive(response.substring(0, split));
        receive(response.substring(split));
        end(end);
        boolean incomplete = response.equals(CLOSE_DELIMITED) && end != End.ORDERLY_CLOSE;
        assertThat(request.outcome, is(incomplete ? "failed, sent true" : "complete whole"));
      }
    }
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void bytesAfterAResponseCloseTheConnectionForEverySplit(End end) {
    String twoResponses = FIXED_LENGTH + FIXED_LENGTH;
    for (int split = 1; split < twoResponses.length(); split++) {
      server.idleConnections.clear();
      RecordingRequest first = sendOnNewConnection();
      receive(twoResponses.substring(0, split));
      boolean idle = server.idleConnections.contains(connection);
      assertThat("split at " + split, idle, is(split == FIXED_LENGTH.length()));
      receive(twoResponses.substring(split));
      assertThat("split at " + split, first.outcome, is("complete whole"));
      assertThat("split at " + split, channel.isActive(), is(false));
      assertThat("split at " + split, server.idleConnections.isEmpty(), is(true));
      end(end);
      assertThat(first.outcome, is("complete whole"));
    }
  }

  @ParameterizedTest
  @EnumSource(End.class)
  void extraResponseForAnotherRequestClosesTheConnection(End end) {
    for (int split = 0; split < FIXED_LENGTH.length(); split++) {
      RecordingRequest first = sendOnNewConnection();
      receive(FIXED_LENGTH);
      assertThat(first.outcome, is("complete whole"));
      server.idleConnections.remove(connection);
      RecordingRequest second = send("a2");
      receive(FIXED_LENGTH.substring(0, split));
      receive(FIXED_LENGTH.substring(split));
      end(end);
      assertThat("split at " + split, second.outcome, is("failed, sent true"));
      assertThat(second.body.length(), is(0));
    }
  }
}
