package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers.RunOutcome;
import elmsail.batch.ItemServers.RunListener;
import elmsail.batch.ItemServers.RunHandle;
import elmsail.gateway.Wire.Message;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Jobs' items at stand-in servers. */
class ItemsTest {
  private static final BatchItem PIECE =
      new BatchItem(
          "e5", "/sack/3/91", Map.of("Elmsail-Tokens", "540,400"), new byte[] {7, 8}, 940);

  private final BlockingQueue<String> response = new LinkedBlockingQueue<>();
  private final RunListener heard =
      new RunListener() {
        @Override
        public void onEvent(long id, byte[] data) {
          response.add(id + ":" + new String(data, StandardCharsets.ISO_8859_1));
        }

        @Override
        public void onEnded(RunOutcome how) {
          response.add(how.name());
        }
      };
  private Rig rig;

  @BeforeEach
  void open() throws Exception {
    rig = new Rig();
  }

  @AfterEach
  void close() {
    rig.close();
  }

  private RunHandle start(long behind) throws Exception {
    return rig.onLoop(
        () -> rig.gateway.itemServers().start(rig.known.routeByName("sack"), PIECE, behind, heard));
  }

  private String next() throws Exception {
    return response.poll(5, TimeUnit.SECONDS);
  }

  @Test
  void anItemIsAskedForAndItsEventsAreTold() throws Exception {
    start(-1);
    Wire server = rig.first.accept();
    Message asked = server.message();
    assertThat(asked.first(), is("POST /sack/3/91 HTTP/1.1"));
    assertThat(asked.header("Host"), is(FakeKnown.HOST));
    assertThat(asked.header("Elmsail-Request-Id"), is("e5"));
    assertThat(asked.header("Elmsail-Tokens"), is("540,400"));
    assertThat(asked.header("Elmsail-Expect-Server"), is("i-0"));
    assertThat(asked.header("Priority"), is("8"));
    assertThat(asked.header("Last-Event-Id"), is(nullValue()));
    assertThat(asked.body(), is("\u0007\b"));
    server
        .write(Rig.streamHead("e5", "p"))
        .write(Rig.chunk("id: 0\ndata: a\ndata: b\n\nid: 1\nda"));
    assertThat(next(), is("0:a\nb"));
    server.write(Rig.chunk("ta: c\n\n")).write("0\r\n\r\n");
    assertThat(next(), is("1:c"));
    assertThat(next(), is("WHOLE"));
  }

  @Test
  void itGoesOnBehindTheEventThatIsThere() throws Exception {
    start(3);
    Wire server = rig.first.accept();
    assertThat(server.message().header("Last-Event-Id"), is("3"));
    server.write(Rig.streamHead("e5", "p")).write(Rig.chunk(Rig.event(4))).write("0\r\n\r\n");
    assertThat(next(), is("4:e4"));
    assertThat(next(), is("WHOLE"));
  }

  @Test
  void eventsOutOfOrderBreakIt() throws Exception {
    start(3);
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.streamHead("e5", "p")).write(Rig.chunk(Rig.event(5)));
    assertThat(next(), is("BROKEN"));
    assertThat(server.ended(), is(true));
  }

  @ParameterizedTest
  @CsvSource({
    "500, FAILED",
    "422, NEVER",
    "421, NOT_RUN",
    "504, BROKEN",
    "503, BROKEN",
    "404, BROKEN"
  })
  void answersEndIt(int status, String how) throws Exception {
    start(-1);
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.answer(status, "e5", ""));
    assertThat(next(), is(how));
  }

  @Test
  void whatDidNotRunIsSaidSo() throws Exception {
    start(-1);
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.notRun(503, "e5"));
    assertThat(next(), is("NOT_RUN"));
  }

  @Test
  void aCutIsNoEnd() throws Exception {
    start(-1);
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.streamHead("e5", "p")).write(Rig.chunk(Rig.event(0)));
    assertThat(next(), is("0:e0"));
    server.close();
    assertThat(next(), is("BROKEN"));
  }

  @Test
  void aSuccessWithoutAStampIsNone() throws Exception {
    start(-1);
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.answer(200, "e5", Rig.event(0), "Content-Type: text/event-stream"));
    assertThat(next(), is("BROKEN"));
  }

  @Test
  void aServerThatCannotBeReachedDidNotRunIt() throws Exception {
    rig.first.close();
    start(-1);
    assertThat(next(), is("NOT_RUN"));
  }

  @Test
  void aCancelledOneIsDroppedAndSilent() throws Exception {
    RunHandle run = start(-1);
    Wire server = rig.first.accept();
    server.message();
    rig.onLoop(
        () -> {
          run.cancel();
          return null;
        });
    assertThat(server.ended(), is(true));
    assertThat(response.isEmpty(), is(true));
  }

  @Test
  void thereIsRoomOnlyForSome() throws Exception {
    int room = rig.onLoop(() -> rig.gateway.itemServers().availableCapacity(rig.known.routeByName("sack")));
    assertThat(room, is(12));
    for (int left = room; left > room - 4; left--) {
      int now = left;
      assertThat(
          rig.onLoop(() -> rig.gateway.itemServers().availableCapacity(rig.known.routeByName("sack"))), is(now));
      assertThat(start(-1), is(notNullValue()));
      assertThat("prompts are not begun together", start(-1), is(nullValue()));
      rig.timers.pass(80);
    }
  }

  @Test
  void noneIsStartedWhereRequestsWait() throws Exception {
    Wire client = rig.request("unsafe", "a1");
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.answer(200, "a1", "x", "Elmsail-Postmark: p", "Elmsail-Server-Load: 24,3,24"));
    client.message();
    assertThat(rig.onLoop(() -> rig.gateway.itemServers().availableCapacity(rig.known.routeByName("sack"))), is(0));
    rig.list(List.of());
    assertThat(start(-1), is(nullValue()));
  }

  /** LOST: an item at a server that has gone dark is free to run elsewhere. */
  @Test
  void anItemAtADarkServerIsCut() throws Exception {
    start(-1);
    Wire server = rig.first.accept();
    server.message();
    server.write(Rig.streamHead("e5", "p")).write(Rig.chunk(Rig.event(0)));
    assertThat(next(), is("0:e0"));
    passInSteps(4_000);
    assertThat(next(), is("BROKEN"));
    assertThat(server.ended(), is(true));
  }

  /** LOST: likewise where the server is no more on the list. */
  @Test
  void anItemAtAServerThatIsGoneAndSilentIsCut() throws Exception {
    start(-1);
    Wire server = rig.first.accept();
    server.message();
    rig.list(List.of());
    passInSteps(4_000);
    assertThat(next(), is("BROKEN"));
    assertThat(server.ended(), is(true));
  }

  /** An item waits for its turn at a server that works on others. */
  @Test
  void anItemThatWaitsAtABusyServerIsLeftThere() throws Exception {
    start(-1);
    Wire server = rig.first.accept();
    server.message();
    Wire client = rig.request("stream", "a1", "Elmsail-Deadline-Ms: 5000");
    Wire busy = rig.first.accept();
    busy.message();
    busy.write(
        Rig.streamHead("a1", "p").replace("\r\n\r\n", "\r\nElmsail-Server-Load: 24,9,24\r\n\r\n"));
    for (int i = 0; i < 16; i++) {
      busy.write(Rig.chunk(Rig.event(i)));
      if (i == 0) {
        client.head();
      }
      assertThat(client.chunk(), is(Rig.event(i)));
      rig.timers.pass(250);
    }
    server.write(Rig.streamHead("e5", "p")).write(Rig.chunk(Rig.event(0))).write("0\r\n\r\n");
    assertThat(next(), is("0:e0"));
    assertThat(next(), is("WHOLE"));
  }

  /** UNASKED: what the envelope says of the prompt reaches the server byte for byte. */
  @Test
  void theEnvelopePassesUnchanged() throws Exception {
    Map<String, String> envelope =
        Map.of(
            "Elmsail-Model", "M odel;v=\"1\", x\u00e9/%20",
            "Elmsail-Tokens", "0540,400",
            "Elmsail-Prompt-Prefix", "9C2e41:300,,5d07b8:240",
            "Elmsail-Deadline-Ms", "70000");
    BatchItem piece = new BatchItem("e5", "/sack/3/91", envelope, new byte[] {7}, 940);
    rig.onLoop(() -> rig.gateway.itemServers().start(rig.known.routeByName("sack"), piece, -1, heard));
    Message asked = rig.first.accept().message();
    envelope.forEach((name, value) -> assertThat(asked.header(name), is(value)));
  }

  /** UNASKED: an item that is cancelled before its connection is there is not sent. */
  @Test
  void anItemThatIsCancelledBeforeItIsSentDoesNotReachTheServer() throws Exception {
    rig.onLoop(
        () -> {
          rig.gateway.itemServers().start(rig.known.routeByName("sack"), PIECE, -1, heard).cancel();
          return null;
        });
    Wire server = rig.first.poll();
    assertThat(server == null || server.ended(), is(true));
    assertThat(response.isEmpty(), is(true));
  }

  private void passInSteps(long ms) {
    for (long passed = 0; passed < ms; passed += 250) {
      rig.timers.pass(250);
    }
  }
}
