package elmsail.timetable.pull;

import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.inner.words.Roster;
import elmsail.station.Timers;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

/**
 * A notary's side of the pulls: what it has to tell, who waits for something newer, and who was heard of.
 * Everything on the loop.
 */
public final class Sources {
  private static final int MOST_HELD = 2_000;
  private static final int MOST_HEARD = 4_000;
  private static final long LONGEST_WAIT_MS = 10_000;

  private record Held(PullAsk ask, CompletableFuture<PullTold> answer, Timers.Timer timer) {
  }

  private final Timers timers;
  private final Map<String, Held> held = new LinkedHashMap<>();
  private final Map<String, Heard> heard = new LinkedHashMap<>();
  private Function<PullAsk, Roster> rosters = ask -> new Roster();
  private Runnable whenHeard = () -> { };
  private long edition;
  private byte[] timetable;
  private long listEpoch;
  private long listVersion;
  private byte[] servers;
  private long listTakenAt;
  private long rosterVersion;
  private boolean releasing;

  public Sources(Timers timers) {
    this.timers = timers;
    rosterVersion = Math.max(1, timers.now());
  }

  /** A decided configuration, as the operator sent it; passed over unless its edition is higher. */
  public void setTimetable(long newEdition, byte[] bytes) {
    if (newEdition > edition) {
      edition = newEdition;
      timetable = bytes;
      changed();
    }
  }

  /**
   * A list, in the bytes of {@code ServerList.encode}. Passed over if it is behind the one held; the same
   * version again only makes it younger.
   *
   * @param version from 1, as a puller without a list has 0
   * @param takenAt steady ms when the carrier was asked
   */
  public void setServers(long epoch, long version, byte[] bytes, long takenAt) {
    int order = Long.compare(epoch, listEpoch);
    order = order != 0 ? order : Long.compare(version, listVersion);
    if (servers != null && order == 0) {
      listTakenAt = Math.max(listTakenAt, takenAt);
    } else if (servers == null || order > 0) {
      listEpoch = epoch;
      listVersion = version;
      servers = bytes;
      listTakenAt = takenAt;
      changed();
    }
  }

  /** Whether there is a list to tell. */
  public boolean hasServers() {
    return servers != null;
  }

  /** How each asker's roster is made; it may differ by asker (a seat to claim). */
  public void setRoster(Function<PullAsk, Roster> newRosters) {
    rosters = newRosters;
    rosterChanged();
  }

  /** Something in the rosters has changed: whoever waits is told. */
  public void rosterChanged() {
    rosterVersion = Math.max(rosterVersion + 1, timers.now());
    changed();
  }

  /** Run on the loop after an asker came that is new, or that tells another state of itself. */
  public void whenHeard(Runnable then) {
    whenHeard = then;
  }

  /**
   * Answers at once if something is newer than the asker has, else when something is or the wait is over
   * (10 s at most). An asker's second ask ends its first. With 2,000 held, more are answered at once.
   */
  public CompletableFuture<PullTold> ask(PullAsk ask) {
    String who = who(ask);
    hear(who, ask);
    Held older = held.remove(who);
    if (older != null) {
      answer(older);
    }
    if (newer(ask) || ask.waitMs <= 0 || held.size() >= MOST_HELD) {
      return CompletableFuture.completedFuture(told(ask));
    }
    CompletableFuture<PullTold> answer = new CompletableFuture<>();
    Timers.Timer timer = timers.after(Math.min(ask.waitMs, LONGEST_WAIT_MS), () -> waited(who, answer));
    held.put(who, new Held(ask, answer, timer));
    return answer;
  }

  /** Whoever asked within so many ms, each process's last word, in no order. */
  public List<Heard> heardWithin(long ms) {
    long since = timers.now() - ms;
    List<Heard> lately = new ArrayList<>();
    for (Heard one : heard.values()) {
      if (one.at() >= since) {
        lately.add(one);
      }
    }
    return lately;
  }

  /** How many asks are held open now. */
  public int held() {
    return held.size();
  }

  private static String who(PullAsk ask) {
    return ask.role + '@' + ask.station;
  }

  private void hear(String who, PullAsk ask) {
    Heard now = new Heard(ask.station, ask.address, ask.zone, ask.role, ask.life, ask.seated, ask.emptied,
        ask.shelf, timers.now());
    Heard before = heard.remove(who);
    if (before == null && heard.size() >= MOST_HEARD) {
      heard.remove(heard.keySet().iterator().next());
    }
    heard.put(who, now);
    if (before == null || !before.saysTheSame(now)) {
      timers.soon(whenHeard);
    }
  }

  private boolean newer(PullAsk ask) {
    return timetable != null && edition > ask.edition || newerList(ask) || rosterVersion != ask.rosterVersion;
  }

  private boolean newerList(PullAsk ask) {
    return servers != null
        && (listEpoch > ask.listEpoch || listEpoch == ask.listEpoch && listVersion > ask.listVersion);
  }

  private PullTold told(PullAsk ask) {
    PullTold told = new PullTold();
    told.edition = edition;
    told.timetable = edition > ask.edition ? timetable : null;
    told.listEpoch = listEpoch;
    told.listVersion = listVersion;
    told.servers = newerList(ask) ? servers : null;
    told.listAgeMs = servers == null ? -1 : Math.max(0, timers.now() - listTakenAt);
    told.rosterVersion = rosterVersion;
    told.roster = rosterVersion != ask.rosterVersion ? rosters.apply(ask) : null;
    return told;
  }

  private void waited(String who, CompletableFuture<PullTold> answer) {
    Held mine = held.get(who);
    if (mine != null && mine.answer() == answer) {
      held.remove(who);
      answer(mine);
    }
  }

  /** Several changes of one moment are told together. */
  private void changed() {
    if (!releasing) {
      releasing = true;
      timers.soon(this::release);
    }
  }

  private void release() {
    releasing = false;
    List<Held> ready = new ArrayList<>();
    held.values().removeIf(one -> newer(one.ask()) && ready.add(one));
    for (Held one : ready) {
      answer(one);
    }
  }

  private void answer(Held one) {
    one.timer().cancel();
    one.answer().complete(told(one.ask()));
  }
}
