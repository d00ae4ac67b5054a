package elmsail.gateway.load;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.rpc.MessageCodec;
import elmsail.rpc.messages.LoadReport;
import elmsail.rpc.messages.ServerLoadEntry;
import elmsail.runtime.AddressUnavailableException;
import elmsail.runtime.Counters;
import elmsail.runtime.NettyEventLoop;
import elmsail.runtime.PrometheusText;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends datagrams over loopback to a channel, including datagrams that no gateway sends. */
@Timeout(60)
class LoadChannelTest {
  private static final int REPORTS_DURING_A_PAUSE = 160;

  private final NettyEventLoop loop = new NettyEventLoop();
  private final MessageCodec codec = new MessageCodec();
  private final Counters counters = new Counters();
  private final List<String> senders = new CopyOnWriteArrayList<>();
  private final CompletableFuture<Void> lastReceived = new CompletableFuture<>();
  private DatagramSocket peer;
  private String address;
  private LoadChannel channel;

  @BeforeEach
  void open() throws Exception {
    peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
    try (DatagramSocket free = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      address = "127.0.0.1:" + free.getLocalPort();
    }
    channel = new LoadChannel(this::onReport, counters);
    onLoop(() -> channel.open(loop.eventLoop(), address)).get(30, TimeUnit.SECONDS);
  }

  @AfterEach
  void close() throws Exception {
    loop.execute(channel::close);
    peer.close();
    loop.shutdown().get();
  }

  private void onReport(LoadReport report) {
    senders.add(report.sender + "#" + report.sequence);
    if (report.sequence == Long.MAX_VALUE) {
      lastReceived.complete(null);
    }
  }

  private CompletableFuture<Void> onLoop(Supplier<CompletableFuture<Void>> action) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () ->
            action
                .get()
                .whenComplete(
                    (nothing, failure) -> {
                      if (failure == null) {
                        done.complete(null);
                      } else {
                        done.completeExceptionally(failure);
                      }
                    }));
    return done;
  }

  private String peerAddress() {
    return "127.0.0.1:" + peer.getLocalPort();
  }

  private byte[] report(String sender, long sequence) {
    LoadReport report = new LoadReport();
    report.sender = sender;
    report.sequence = sequence;
    return codec.toDatagram(report);
  }

  private void sendToChannel(byte[] bytes) throws Exception {
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    peer.send(
        new DatagramPacket(
            bytes, bytes.length, new InetSocketAddress(InetAddress.getLoopbackAddress(), port)));
  }

  /** Datagrams on one loopback socket arrive in order, so the last one shows that all were read. */
  private void sendLastAndAwait() throws Exception {
    sendToChannel(report(peerAddress(), Long.MAX_VALUE));
    lastReceived.get(30, TimeUnit.SECONDS);
  }

  private List<String> reportCounters() throws Exception {
    CompletableFuture<List<String>> lines = new CompletableFuture<>();
    loop.execute(
        () ->
            lines.complete(
                PrometheusText.format(counters)
                    .lines()
                    .filter(line -> line.startsWith("elmsail_load_reports"))
                    .toList()));
    return lines.get(30, TimeUnit.SECONDS);
  }

  @Test
  void reportWhoseSenderIsNotItsSourceAddressIsDroppedAndCounted() throws Exception {
    sendToChannel(report("", 1));
    sendToChannel(report("not an address", 2));
    sendToChannel(report("127.0.0.1:99999", 3));
    sendToChannel(report("[::1]:7720", 4));
    sendToChannel(report("127.0.0.2:" + peer.getLocalPort(), 5));
    sendToChannel(report(peerAddress(), 6));
    sendLastAndAwait();
    assertThat(senders, contains(peerAddress() + "#6", peerAddress() + "#" + Long.MAX_VALUE));
    assertThat(
        reportCounters(),
        contains("elmsail_load_reports_malformed 0", "elmsail_load_reports_misattributed 5"));
  }

  @Test
  void malformedDatagramIsDroppedAndCounted() throws Exception {
    sendToChannel(new byte[0]);
    sendToChannel("GET / HTTP/1.1".getBytes(StandardCharsets.US_ASCII));
    byte[] cut = report(peerAddress(), 1);
    sendToChannel(Arrays.copyOf(cut, cut.length / 2));
    sendLastAndAwait();
    assertThat(senders, contains(peerAddress() + "#" + Long.MAX_VALUE));
    assertThat(
        reportCounters(),
        contains("elmsail_load_reports_malformed 3", "elmsail_load_reports_misattributed 0"));
  }

  @Test
  void senderOfAnAcceptedReportCanBeRepliedTo() throws Exception {
    sendLastAndAwait();
    LoadReport reply = new LoadReport();
    reply.sender = address;
    loop.execute(() -> channel.send(peerAddress(), reply));
    DatagramPacket received = new DatagramPacket(new byte[2_000], 2_000);
    peer.setSoTimeout(30_000);
    peer.receive(received);
    byte[] bytes = Arrays.copyOf(received.getData(), received.getLength());
    assertThat(codec.fromDatagram(bytes, LoadReport.class).sender, is(address));
  }

  @Test
  void addressInUseFailsTheOpening() {
    LoadChannel second = new LoadChannel(report -> {}, new Counters());
    Throwable failure =
        assertThrows(
            ExecutionException.class, onLoop(() -> second.open(loop.eventLoop(), address))::get);
    assertThat(AddressUnavailableException.findIn(failure).orElseThrow().address(), is(address));
  }

  /**
   * The aggregator of a zone of 14 gateways receives some 150 reports in a tenth of a second. The
   * receive buffer must hold the reports that arrive while the process is paused that long.
   */
  @Test
  void reportsThatArriveWhileTheProcessIsPausedAreRead() throws Exception {
    CountDownLatch paused = new CountDownLatch(1);
    CountDownLatch resumed = new CountDownLatch(1);
    loop.execute(
        () -> {
          paused.countDown();
          awaitUninterrupted(resumed);
        });
    paused.await();
    for (int i = 0; i < REPORTS_DURING_A_PAUSE; i++) {
      sendToChannel(reportOfManyServers(i));
    }
    resumed.countDown();
    sendLastAndAwait();
    assertThat(senders.size(), is(REPORTS_DURING_A_PAUSE + 1));
  }

  private byte[] reportOfManyServers(long sequence) {
    LoadReport report = new LoadReport();
    report.sender = peerAddress();
    report.sequence = sequence;
    for (int i = 0; i < 34; i++) {
      ServerLoadEntry entry = new ServerLoadEntry();
      entry.server = "i-7f3a91c" + i;
      entry.requests = i;
      entry.prefillTokens = 2_000;
      report.servers.add(entry);
    }
    return codec.toDatagram(report);
  }

  private static void awaitUninterrupted(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
