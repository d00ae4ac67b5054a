package elmsail.tier;

import elmsail.clerk.Clerk;
import elmsail.inner.InnerLinks;
import elmsail.inner.words.Seating;
import elmsail.lots.door.LotsDoor;
import elmsail.register.RegisterClient;
import elmsail.register.SeatingRules;
import elmsail.register.Seatings;
import elmsail.station.NettyLoop;
import elmsail.station.Settings;
import elmsail.station.http.HttpAsk;
import elmsail.timetable.CarrierCall;
import elmsail.timetable.pull.Puller;
import elmsail.timetable.pull.VaultPart;
import java.security.SecureRandom;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A clerk put together: its links, what it knows, its lots and its clients. All on the loop. */
final class Counter implements Program.Running {
  private static final Logger LOG = LoggerFactory.getLogger(Counter.class);

  private final InnerLinks links;
  private final Puller known;
  private Clerk clerk;
  private boolean ending;
  private Runnable whenEnded;

  Counter(Settings settings, NettyLoop loop) {
    long who = new SecureRandom().nextLong();
    String own = settings.innerAddress();
    links = new InnerLinks(loop.events(), loop, own);
    CarrierCall carrier = settings.carrier() == null ? null
        : new CarrierCall(new HttpAsk(loop), settings.carrier().address(), loop);
    known = new Puller(links, loop, settings, "clerk", who, () -> VaultPart.NONE, carrier);
    RegisterClient shelf = new RegisterClient("shelf", links, loop, new Shelf(known), who, own,
        address -> near(own, address));
    LotsDoor lots = new LotsDoor(shelf, links, loop, known, own, who, settings.bounds().cancelMs());
    lots.listen(links);
    CompletableFuture<Void> listening = links.listen();
    known.start();
    Clerk.start(settings, loop, known, lots).thenAcceptBoth(listening, (started, nothing) -> {
      clerk = started;
      lots.setServers(started.itemServers());
      lots.start();
      LOG.info("listening at {} and {}", settings.slots().get("front"), own);
      if (ending) {
        finish();
      }
    }).exceptionally(Launch::fatal);
  }

  /** How far another process is: the first two parts of its address tell its zone as far as is known. */
  private static int near(String own, String other) {
    int dots = 0;
    for (int i = 0; i < Math.min(own.length(), other.length()); i++) {
      if (own.charAt(i) != other.charAt(i)) {
        return 1;
      }
      if (own.charAt(i) == '.' && ++dots == 2) {
        return 0;
      }
    }
    return 0;
  }

  @Override
  public void changed(Settings settings) {
    LOG.info("settings have changed; what a running clerk needs of them stays as it was");
  }

  @Override
  public void end(Runnable ended) {
    whenEnded = ended;
    ending = true;
    if (clerk != null) {
      finish();
    } else {
      ended.run();
    }
  }

  private void finish() {
    clerk.stop().whenComplete((done, failed) -> {
      known.close();
      links.close();
      whenEnded.run();
    });
  }

  /** The vaults' seats: what the notaries and the vaults themselves told, the newer of each. */
  private static final class Shelf implements Seatings {
    private final Puller known;
    private Seating told = new Seating();

    Shelf(Puller known) {
      this.known = known;
    }

    @Override
    public Seating of() {
      Seating roster = known.roster().shelf;
      if (SeatingRules.newer(roster, told)) {
        told = SeatingRules.merge(told, roster);
      }
      return told;
    }

    @Override
    public void told(Seating newer) {
      told = SeatingRules.merge(told, newer);
    }
  }
}
