package willowdoor.lab.peers;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;
import willowdoor.lab.net.OwnLoop;
import willowdoor.lab.record.Entry;
import willowdoor.lab.record.Recorder;

/**
 * Discovery, and its agent on each front door's machine, which listens at an address of its own and
 * tells the list with the addresses that this front door sees. An agent that is silent says nothing
 * at all and hears nothing new; it answers what it was asked once it is back. All on its loop.
 */
public final class DiscoveryStandIn implements Closeable {

  private static final long LINE_MS = 2_000;
  private static final int MOST_REQUEST = 4_096;

  private final OwnLoop own = new OwnLoop();
  private final EventLoop loop = own.loop();
  private final Recorder records;
  private final HostBook book = new HostBook();
  private final Map<String, Agent> agents = new LinkedHashMap<>();

  public DiscoveryStandIn(Recorder records) {
    this.records = records;
    loop.scheduleAtFixedRate(
        () -> agents.values().forEach(Agent::line), LINE_MS, LINE_MS, TimeUnit.MILLISECONDS);
  }

  /** Opens a front door's agent; it tells each server's address as the function gives it. */
  public void listen(String door, InetSocketAddress address, Function<String, String> addressOf)
      throws IOException {
    Agent agent = new Agent(door, addressOf);
    loop.submit(() -> agents.put(door, agent)).awaitUninterruptibly();
    Sockets.listen(
        own,
        address,
        () ->
            new ChannelHandler[] {
              new HttpServerCodec(), new HttpObjectAggregator(MOST_REQUEST), new Caller(agent)
            });
  }

  /** Puts a server into the list, or changes what it says of it. */
  public void put(String id, String zone, int cell, String state, long startedMs) {
    loop.submit(() -> change(new HostBook.Host(id, zone, cell, state, startedMs)))
        .awaitUninterruptibly();
  }

  /** Says of a server that it is in another state; a new start is told by its time. */
  public void state(String id, String state, long startedMs) {
    loop.submit(
            () -> {
              HostBook.Host host = book.get(id);
              change(new HostBook.Host(id, host.zone(), host.cell(), state, startedMs));
            })
        .awaitUninterruptibly();
  }

  /** Makes the agents of these front doors silent, or lets them speak again. */
  public void silence(List<String> doors, boolean on) {
    loop.submit(() -> doors.forEach(d -> agents.get(d).silence(on))).awaitUninterruptibly();
  }

  /** The list as the front door's agent has it: what a new process finds in its configuration. */
  public ObjectNode known(String door) {
    return loop.submit(() -> book.whole().json(agents.get(door).addressOf))
        .awaitUninterruptibly()
        .getNow();
  }

  private void change(HostBook.Host host) {
    book.put(host);
    agents.values().forEach(Agent::tell);
  }

  /** What one front door's machine has been told. */
  private final class Agent {
    private final String door;
    private final Function<String, String> addressOf;
    private final List<Caller> watches = new ArrayList<>();
    private final List<Runnable> unanswered = new ArrayList<>();
    private boolean silent;

    Agent(String door, Function<String, String> addressOf) {
      this.door = door;
      this.addressOf = addressOf;
    }

    void silence(boolean on) {
      silent = on;
      if (!on) {
        List<Runnable> now = new ArrayList<>(unanswered);
        unanswered.clear();
        now.forEach(Runnable::run);
        tell();
      }
    }

    void whenItSpeaks(Runnable answer) {
      if (silent) {
        unanswered.add(answer);
      } else {
        answer.run();
      }
    }

    void line() {
      if (!silent) {
        watches.forEach(w -> w.write("\n"));
      }
    }

    void tell() {
      if (!silent) {
        watches.forEach(Caller::tell);
      }
    }

    String text(HostBook.News news) {
      long now = records.clock().nowUs();
      records.write(
          new Entry.Told(
              now,
              now,
              door,
              news.version(),
              news.full(),
              news.hosts().stream()
                  .collect(
                      Collectors.toMap(
                          HostBook.Host::id,
                          HostBook.Host::state,
                          (a, b) -> b,
                          LinkedHashMap::new))));
      return news.json(addressOf).toString();
    }
  }

  private final class Caller extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Agent agent;
    private ChannelHandlerContext ctx;

    /** What was told on this watch. */
    private long version;

    Caller(Agent agent) {
      this.agent = agent;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      ctx = context;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      agent.watches.remove(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      QueryStringDecoder target = new QueryStringDecoder(request.uri());
      boolean watch = target.parameters().containsKey("stream");
      long index = index(target);
      if (!target.path().equals("/discovery/hosts") || index < -1) {
        ctx.writeAndFlush(Sockets.answer(HttpResponseStatus.NOT_FOUND, "no such list"));
      } else if (watch) {
        agent.whenItSpeaks(() -> begin(index));
      } else {
        agent.whenItSpeaks(
            () ->
                ctx.writeAndFlush(Sockets.answer(HttpResponseStatus.OK, agent.text(book.whole()))));
      }
    }

    /** The version that the watch goes on from; -1 for none, -2 where it cannot be read. */
    private long index(QueryStringDecoder target) {
      List<String> given = target.parameters().getOrDefault("index", List.of("-1"));
      try {
        return Long.parseLong(given.get(0));
      } catch (NumberFormatException e) {
        return -2;
      }
    }

    private void begin(long index) {
      if (!ctx.channel().isActive()) {
        return;
      }
      DefaultHttpResponse head =
          new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      ctx.writeAndFlush(head);
      version = index;
      agent.watches.add(this);
      tell();
    }

    /** Writes what is new since what was told here; nothing where nothing is. */
    void tell() {
      if (version != book.version()) {
        HostBook.News news = book.since(version);
        version = news.version();
        write(agent.text(news) + '\n');
      }
    }

    void write(String line) {
      ctx.writeAndFlush(
          new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      ctx.close();
    }
  }

  @Override
  public void close() {
    own.close();
  }
}
