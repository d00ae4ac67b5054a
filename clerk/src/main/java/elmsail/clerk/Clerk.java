package elmsail.clerk;

import elmsail.clerk.counter.Front;
import elmsail.clerk.requests.Course;
import elmsail.clerk.requests.Desk;
import elmsail.clerk.requests.Items;
import elmsail.clerk.servers.Servers;
import elmsail.clerk.words.Tally;
import elmsail.lots.ItemServers;
import elmsail.lots.LotCalls;
import elmsail.station.NettyLoop;
import elmsail.station.Settings;
import elmsail.station.Timers;
import elmsail.station.http.HttpReply;
import elmsail.station.http.HttpServing;
import elmsail.timetable.Known;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The data plane of one process, as a whole. All on the loop. */
public final class Clerk {
  private static final Logger LOG = LoggerFactory.getLogger(Clerk.class);
  private static final long TELL_MS = 10_000;
  private static final int MOST_READY_BODY = 1_024;
  private static final byte[] NOTHING = new byte[0];
  /** The platform stops sending after two looks a second apart; from then on idle connections end. */
  private static final long STILL_SENT_MS = 2_500;
  private static final long STOP_LOOK_MS = 20;
  /** A request is cut only where its server was still at work in the second half of the grace time. */
  private static final long BEYOND_HALF_MS = 250;

  private final NettyLoop loop;
  private final Timers timers;
  private final Known known;
  private final Settings settings;
  private final Tally tally = new Tally();
  private final Servers servers;
  private final Items items;
  private final Desk desk;
  private Front front;
  private HttpServing ready;
  private boolean stopping;
  private String toldLast = "";

  private Clerk(Settings settings, NettyLoop loop, Timers timers, Known known, LotCalls lots) {
    this.loop = loop;
    this.timers = timers;
    this.known = known;
    this.settings = settings;
    SplittableRandom chance = new SplittableRandom();
    servers = new Servers(timers, loop.events(), known, settings.zone(), tally, chance);
    Course course = new Course(timers, known, servers, tally, chance);
    items = new Items(course);
    desk = new Desk(course, lots);
  }

  /**
   * Begins to listen at the slots "front" and "ready"; to be called on the loop.
   *
   * @return completes on the loop once both are bound; fails with BAD_SETTINGS
   */
  public static CompletableFuture<Clerk> start(Settings settings, NettyLoop loop, Known known,
      LotCalls lots) {
    return start(settings, loop, loop, known, lots);
  }

  /** Likewise by another clock. */
  static CompletableFuture<Clerk> start(Settings settings, NettyLoop loop, Timers timers, Known known,
      LotCalls lots) {
    return new Clerk(settings, loop, timers, known, lots).listen();
  }

  private CompletableFuture<Clerk> listen() {
    CompletableFuture<Front> fronted = Front.listen(timers, loop.events(), settings.slots().get("front"),
        known, desk, tally, settings.limits().fds());
    CompletableFuture<HttpServing> looked = HttpServing.listen(loop, settings.slots().get("ready"), call ->
        CompletableFuture.completedFuture(new HttpReply(
            call.path().equals("/ready") ? isReady() ? 200 : 503 : 404, Map.of(), NOTHING)),
        MOST_READY_BODY);
    return fronted.thenCombine(looked, (f, r) -> {
      front = f;
      ready = r;
      timers.after(TELL_MS, this::tell);
      return this;
    });
  }

  /** Whether the platform is to send clients here. */
  public boolean isReady() {
    return !stopping && known.timetable() != null && servers.any();
  }

  /** For the runner of lots' items. */
  public ItemServers itemServers() {
    return items;
  }

  public Tally tally() {
    return tally;
  }

  /** Where clients connect to, ip:port. */
  public String frontAddress() {
    return front.address();
  }

  /** Where the platform asks whether to send, ip:port. */
  public String readyAddress() {
    return ready.address();
  }

  /**
   * Is not ready from now on, serves what is open and still comes, and ends soon after half of the grace
   * time.
   *
   * @return completes on the loop when nothing is open any more
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (stopping) {
      done.complete(null);
      return done;
    }
    stopping = true;
    LOG.info("stopping; {} connections of clients are open", front.connections());
    front.beginEnd();
    long halfGrace = settings.bounds().graceMs() / 2;
    long end = timers.now() + halfGrace + BEYOND_HALF_MS;
    timers.after(Math.min(STILL_SENT_MS, halfGrace * 3 / 4), () -> {
      front.closeIdle();
      whenEmpty(end, done);
    });
    return done;
  }

  private void whenEmpty(long end, CompletableFuture<Void> done) {
    if (front.connections() > 0 && timers.now() < end) {
      timers.after(STOP_LOOK_MS, () -> whenEmpty(end, done));
      return;
    }
    front.closeAll();
    servers.stop();
    ready.close();
    LOG.info("stopped: {}", tally);
    done.complete(null);
  }

  private void tell() {
    String now = tally.toString();
    if (!now.equals(toldLast)) {
      LOG.info("counts: {}", now);
      toldLast = now;
    }
    if (!stopping) {
      timers.after(TELL_MS, this::tell);
    }
  }
}
