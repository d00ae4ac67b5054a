package willowdoor.purge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import willowdoor.purge.Message.Accept;
import willowdoor.purge.Message.Accepted;
import willowdoor.purge.Message.Ask;
import willowdoor.purge.Message.Claim;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.HolderId;
import willowdoor.purge.Message.Noted;
import willowdoor.purge.Message.Outstanding;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.Reason;
import willowdoor.purge.Message.Refused;
import willowdoor.purge.Message.Renew;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.State;
import willowdoor.purge.Message.Told;

/**
 * One of the few front doors that grant leases and hold purges, in memory only. Times are this
 * process's monotonic ms, read after the message at hand was read.
 */
final class Keeper {
  private static final int MAX_LIVE = 256;
  private static final int MAX_LIVE_OF_CUSTOMER = 32;
  private static final int MAX_BOOTS = 2;

  /** Whoever has missed more answers than this gets no lease until it hears one: it may be deaf. */
  private static final int MAX_MISSED = 3;

  /** What the runs of one grant may take of a datagram, and what each takes beside its text. */
  private static final int GRANT_ROOM = 1_300;

  private static final int RUN_ROOM = 24;

  /**
   * A run that is held. {@code bare}: until when the leases run that were granted before it was
   * accepted.
   */
  private static final class Live {
    final Purge purge;
    final long acceptance;
    long seenAt;
    final TreeMap<HolderId, Long> bare;
    final TreeSet<HolderId> applied;

    Live(Purge purge, long acceptance, TreeMap<HolderId, Long> bare) {
      this.purge = purge;
      this.acceptance = acceptance;
      this.bare = bare;
      applied = new TreeSet<>();
    }

    Live(Live other) {
      purge = other.purge;
      acceptance = other.acceptance;
      seenAt = other.seenAt;
      bare = new TreeMap<>(other.bare);
      applied = new TreeSet<>(other.applied);
    }
  }

  /** What is known of an id; no result while it is open. */
  private record Known(Scope scope, int mark, Result result) {}

  private final Fleet fleet;
  private final long boot;
  private final Rules rules;
  private final long readyAt;
  private long acceptances;
  private final TreeMap<HolderId, Long> leases;
  private final LinkedHashMap<Long, Live> live;
  private final Memory<Known> known;

  Keeper(Fleet fleet, long boot, long now, Rules rules) {
    this.fleet = fleet;
    this.boot = boot;
    this.rules = rules;
    readyAt = now + rules.silenceMs(fleet.timing());
    leases = new TreeMap<>();
    live = new LinkedHashMap<>();
    known = new Memory<>();
  }

  Keeper(Keeper other) {
    fleet = other.fleet;
    boot = other.boot;
    rules = other.rules;
    readyAt = other.readyAt;
    acceptances = other.acceptances;
    leases = new TreeMap<>(other.leases);
    live = new LinkedHashMap<>();
    other.live.forEach((run, held) -> live.put(run, new Live(held)));
    known = new Memory<>(other.known);
  }

  List<Effect> on(long now, int from, Message message) {
    forget(now);
    List<Effect> effects = new ArrayList<>();
    if (message instanceof Renew renew && now >= readyAt) {
      renew(now, from, renew, effects);
    } else if (message instanceof Accept accept) {
      accept(now, from, accept, effects);
    } else if (message instanceof Done done) {
      live.remove(done.purge().run());
      for (Claim claim : done.claims()) {
        known.put(now, claim.id(), new Known(done.purge().scope(), claim.mark(), done.result()));
      }
      effects.add(new Effect.Send(from, new Noted(done.purge().run())));
    } else if (message instanceof Ask ask) {
      effects.add(new Effect.Send(from, told(now, ask)));
    }
    return effects;
  }

  /** Lets go of what is over: leases by their record, runs of which nothing was heard. */
  private void forget(long now) {
    leases.values().removeIf(until -> until <= now);
    live.values().removeIf(held -> held.seenAt + fleet.timing().keepMs() <= now);
  }

  private void renew(long now, int from, Renew renew, List<Effect> effects) {
    HolderId holder = new HolderId(from, renew.boot());
    if (!leases.containsKey(holder) && boots(from) >= MAX_BOOTS) {
      return;
    }
    for (long run : renew.applied()) {
      Live held = live.get(run);
      if (held != null) {
        held.applied.add(holder);
        held.bare.remove(holder);
      }
    }
    List<Purge> purges = new ArrayList<>();
    boolean more = renew.number() - renew.heard() > MAX_MISSED;
    int room = GRANT_ROOM;
    for (Live held : live.values()) {
      if (!rules.carries() || held.applied.contains(holder)) {
        continue;
      }
      room -=
          RUN_ROOM + held.purge.scope().customer().length() + held.purge.scope().prefix().length();
      if (room < 0) {
        more = true;
        break;
      }
      purges.add(held.purge);
    }
    if (!more) {
      leases.put(holder, now + rules.recordMs(fleet.timing()));
    }
    effects.add(new Effect.Send(from, new Grant(renew.boot(), renew.number(), more, purges)));
  }

  private int boots(int member) {
    return leases.subMap(new HolderId(member, 0), new HolderId(member + 1, 0)).size();
  }

  private void accept(long now, int from, Accept accept, List<Effect> effects) {
    long run = accept.purge().run();
    for (Claim claim : accept.claims()) {
      Known before = known.get(claim.id());
      if (before != null && before.mark() != claim.mark()) {
        effects.add(new Effect.Send(from, new Refused(run, Reason.KEY_USED, claim.id())));
        return;
      }
      if (before != null && before.result() != null) {
        effects.add(new Effect.Send(from, told(0, claim.id(), before)));
      }
    }
    Live held = live.get(run);
    if (now < readyAt || held == null && full(accept.purge().scope().customer())) {
      Reason reason = now < readyAt ? Reason.NOT_READY : Reason.FULL;
      effects.add(new Effect.Send(from, new Refused(run, reason, null)));
      return;
    }
    if (held == null) {
      held = new Live(accept.purge(), boot << 24 | ++acceptances & 0xffffff, new TreeMap<>(leases));
      live.put(run, held);
    }
    held.seenAt = now;
    held.bare.values().removeIf(until -> until <= now);
    for (Claim claim : accept.claims()) {
      if (known.get(claim.id()) == null) {
        known.put(now, claim.id(), new Known(accept.purge().scope(), claim.mark(), null));
      }
    }
    for (int page = 0; page < fleet.pages(); page++) {
      effects.add(
          new Effect.Send(
              from,
              new Accepted(
                  run, accept.number(), held.acceptance, page, outstanding(now, held, page))));
    }
  }

  private static List<Outstanding> outstanding(long now, Live held, int page) {
    List<Outstanding> list = new ArrayList<>();
    HolderId first = new HolderId(page * Fleet.PAGE, 0);
    for (Map.Entry<HolderId, Long> lease : held.bare.tailMap(first).entrySet()) {
      if (lease.getKey().member() >= (page + 1) * Fleet.PAGE) {
        break;
      }
      list.add(new Outstanding(lease.getKey(), lease.getValue() - now));
    }
    return list;
  }

  private boolean full(String customer) {
    int same = 0;
    for (Live held : live.values()) {
      same += held.purge.scope().customer().equals(customer) ? 1 : 0;
    }
    return live.size() >= MAX_LIVE || same >= MAX_LIVE_OF_CUSTOMER;
  }

  private Told told(long now, Ask ask) {
    Known fact = known.get(ask.id());
    if (fact == null) {
      State state = now < readyAt ? State.NOT_READY : State.UNKNOWN;
      return new Told(ask.number(), ask.id(), state, null, 0, null);
    }
    return told(ask.number(), ask.id(), fact);
  }

  private static Told told(long number, PurgeId id, Known fact) {
    State state = fact.result() == null ? State.OPEN : State.DONE;
    return new Told(number, id, state, fact.scope(), fact.mark(), fact.result());
  }
}
