package elmsail.notary;

import elmsail.disk.Records;
import elmsail.inner.InnerLinks;
import elmsail.lots.keep.LotsKeeper;
import elmsail.register.SetKeeper;
import elmsail.station.NettyLoop;
import elmsail.station.Settings;
import elmsail.station.http.HttpAsk;
import elmsail.station.http.HttpCall;
import elmsail.station.http.HttpHandler;
import elmsail.station.http.HttpReply;
import elmsail.station.http.HttpServing;
import elmsail.timetable.Known;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;

/**
 * A notary with its sockets, in one of two shapes: at the head office, where operators call, or at a vault.
 * The inner links, the records and the loop are the caller's, who closes them after {@link #end()}.
 */
public final class Notary {
  private static final int MOST_BODY = 8 << 20;
  private static final long END_WITHIN_MS = 800;
  private static final long LOOK_MS = 10;

  private final NettyLoop loop;
  private final HeadOffice office;
  private final VaultHouse house;
  private HttpServing serving;
  private int inHand;

  private Notary(NettyLoop loop, HeadOffice office, VaultHouse house) {
    this.loop = loop;
    this.office = office;
    this.house = house;
  }

  /**
   * Starts one that serves the operators; called on the loop, before or after {@code links.listen()}.
   *
   * @param records null where the machine has no disk: calls are passed on, and there is no vote
   * @return done once the control address is bound; fails with BAD_SETTINGS if it can't be
   */
  public static CompletableFuture<Notary> startHeadOffice(Settings settings, NettyLoop loop, InnerLinks links,
      Records records) {
    HeadOffice office = new HeadOffice(settings, loop, links, links, records, new HttpAsk(loop),
        new SecureRandom().nextLong());
    Notary notary = new Notary(loop, office, null);
    HttpHandler operators = office.operators();
    return HttpServing.listen(loop, settings.slots().get("control"), call -> notary.counted(operators, call),
        MOST_BODY).thenApply(serving -> {
          notary.serving = serving;
          office.start();
          return notary;
        });
  }

  /**
   * Starts one at a vault, keeping lots; called on the loop, before or after {@code links.listen()}.
   *
   * @param records with a disk, always
   */
  public static Notary startVault(Settings settings, NettyLoop loop, InnerLinks links, Records records) {
    VaultHouse[] house = {null};
    LotsKeeper lots = new LotsKeeper(loop, () -> house[0] != null && house[0].keeper().seated(),
        key -> house[0].keeper().drop(key), settings.bounds().statusMs());
    house[0] = new VaultHouse(settings, loop, links, links, records, lots);
    lots.listen(links);
    lots.start();
    house[0].start();
    return new Notary(loop, null, house[0]);
  }

  /** A vault's keeper; null at the head office. */
  public SetKeeper keeper() {
    return house == null ? null : house.keeper();
  }

  /** What a vault knows; null at the head office. */
  public Known known() {
    return house == null ? null : house.puller();
  }

  private CompletableFuture<HttpReply> counted(HttpHandler handler, HttpCall call) {
    CompletableFuture<HttpReply> reply = handler.handle(call);
    inHand++;
    reply.whenComplete((done, failed) -> inHand--);
    return reply;
  }

  /**
   * Takes no new calls of operators, gives the duty up, and is done once those in hand are answered, within
   * 0.8 s at most. On the loop.
   */
  public CompletableFuture<Void> end() {
    if (serving != null) {
      serving.close();
    }
    if (house != null) {
      house.close();
    }
    if (office != null) {
      office.close();
    }
    CompletableFuture<Void> ended = new CompletableFuture<>();
    look(ended, loop.now() + END_WITHIN_MS);
    return ended;
  }

  private void look(CompletableFuture<Void> ended, long until) {
    if (inHand == 0 || loop.now() >= until) {
      // One turn later, so that the last answer has left.
      loop.after(LOOK_MS, () -> ended.complete(null));
    } else {
      loop.after(LOOK_MS, () -> look(ended, until));
    }
  }
}
