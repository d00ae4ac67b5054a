package elmsail.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.oneOf;
import static org.hamcrest.Matchers.startsWith;

import elmsail.gateway.Wire.Message;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Many requests past two servers in every kind of trouble, drawn from a seed, against the rules.
 */
class TroubleTest {
  private static final int REQUESTS = 120;
  private static final int EVENTS = 4;

  /** Runs of each request, counted where a server begins to work on it. */
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();

  /** Speaks for one server, a thread for each connection, until the rig closes. */
  private Thread serve(Wire.Stall stall, long seed) {
    Thread thread =
        new Thread(
            () -> {
              SplittableRandom chance = new SplittableRandom(seed);
              try {
                while (true) {
                  Wire wire = stall.accept();
                  SplittableRandom own = chance.split();
                  Thread one = new Thread(() -> connection(wire, own));
                  one.setDaemon(true);
                  one.start();
                }
              } catch (UncheckedIOException e) {
                return; // the rig has closed
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void connection(Wire wire, SplittableRandom chance) {
    try (wire) {
      for (Message asked = wire.message(); asked != null; asked = wire.message()) {
        if (!answer(wire, asked, chance)) {
          return;
        }
      }
    } catch (UncheckedIOException e) {
      return; // the gateway has closed it
    }
  }

  /** False to end the connection. */
  private boolean answer(Wire wire, Message asked, SplittableRandom chance) {
    String id = asked.header("Elmsail-Request-Id");
    int trouble = chance.nextInt(12);
    if (trouble == 0) {
      wire.write(Rig.notRun(503, id));
      return true;
    }
    if (trouble == 1) {
      wire.write(Rig.answer(421, id, ""));
      return true;
    }
    runs.merge(id, 1, Integer::sum);
    switch (trouble) {
      case 2 -> {
        wire.reset();
        return false;
      }
      case 3 -> {
        wire.write(Rig.good("other", "whole"));
        return true;
      }
      case 4 -> {
        wire.write("HTTP/1.1 2x0 what\u0000\r\n:\r\n\r\n");
        return true;
      }
      case 5 -> {
        wire.write(Rig.answer(200, id, "whole-" + id));
        return true;
      }
      case 6 -> {
        wire.write(Rig.answer(503, id, ""));
        return true;
      }
      default -> {
        return proper(wire, asked, id, trouble);
      }
    }
  }

  private static boolean proper(Wire wire, Message asked, String id, int trouble) {
    if (asked.first().contains("/stream/") || asked.first().contains("/resume/")) {
      String last = asked.header("Last-Event-Id");
      wire.write(Rig.streamHead(id, "p"));
      for (int i = last == null ? 0 : Integer.parseInt(last) + 1; i < EVENTS; i++) {
        if (trouble == 7 && i == 2) {
          wire.write("e\r\nid: 2\nda").reset();
          return false;
        }
        wire.write(Rig.chunk(Rig.event(i)));
      }
      wire.write("0\r\n\r\n");
    } else if (trouble == 7) {
      wire.write(Rig.good(id, "whole-" + id).substring(0, 40)).reset();
      return false;
    } else if (trouble == 8) {
      wire.write(Rig.answer(200, id, "whole-" + id, "Elmsail-Postmark: p", "Connection: close"));
      return false;
    } else {
      wire.write(Rig.good(id, "whole-" + id) + (trouble == 9 ? Rig.good(id, "extra") : ""));
    }
    return true;
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void noRuleIsBroken(long seed) throws Exception {
    try (Rig rig = new Rig()) {
      rig.serve(rig.first, rig.second);
      serve(rig.first, 2 * seed);
      serve(rig.second, 2 * seed + 1);
      SplittableRandom chance = new SplittableRandom(seed);
      String[] routes = {"safe", "unsafe", "once", "stream", "resume"};
      Map<String, Integer> served = new HashMap<>();
      Wire client = rig.client();
      for (int i = 0; i < REQUESTS; i++) {
        String route = routes[chance.nextInt(routes.length)];
        String id = route + i;
        client.write(Rig.requestText(route, id));
        boolean kept = check(client, route, id);
        served.merge(route + (kept ? "" : " cut"), 1, Integer::sum);
        if (!kept) {
          client = rig.client();
        }
      }
      assertThat(served.toString(), served.keySet().containsAll(List.of(routes)), is(true));
    }
  }

  /** Whether the connection goes on. */
  private boolean check(Wire client, String route, String id) {
    boolean repeatable = route.equals("safe") || route.equals("resume");
    Message head = client.head();
    int status = head.status();
    int ran = runs.getOrDefault(id, 0);
    assertThat(id, status, is(oneOf(200, 502, 503)));
    assertThat(id, ran, is(lessThanOrEqualTo(repeatable ? 2 : 1)));
    if (status == 503) {
      assertThat(id + " was promised not to have run", ran, is(0));
    }
    String all = Rig.event(0) + Rig.event(1) + Rig.event(2) + Rig.event(3);
    if (status == 200 && head.header("Transfer-Encoding") != null) {
      assertThat(head.header("Elmsail-Postmark"), is("p"));
      StringBuilder body = new StringBuilder();
      String chunk = client.chunk();
      while (chunk != null && !chunk.isEmpty()) {
        body.append(chunk);
        chunk = client.chunk();
      }
      if (chunk == null) {
        assertThat(all, startsWith(body.toString().replaceAll("id: 2\nda$", "")));
        return false;
      }
      assertThat(id, body.toString(), is(all));
      return true;
    }
    String body = client.bytes(Integer.parseInt(head.header("Content-Length")));
    if (status == 200) {
      assertThat(head.header("Elmsail-Postmark"), is(oneOf("p", "stamp-" + id)));
      assertThat(body, containsString("whole-" + id));
    }
    return true;
  }
}
