package elmsail.register;

import elmsail.inner.Caller;
import elmsail.inner.words.ClaimAsk;
import elmsail.inner.words.ClaimTold;
import elmsail.inner.words.CopyAsk;
import elmsail.inner.words.CopyTold;
import elmsail.inner.words.Seating;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongFunction;

/** Faults put into a history on purpose, each of which its checker has to find. */
final class Defects {
  private Defects() {
  }

  /** Each answer leaves before its write is safe. */
  static History answersBeforeSync(long seed) {
    History history = new History(seed);
    history.whenMade = node -> node.platter.tellsEarly = true;
    return history;
  }

  /** One whose disk lost the keys goes on voting as who it was. */
  static History votesAfterAmnesia(long seed) {
    History history = new History(seed);
    history.afterWipe = (node, before) -> {
      node.platter.life = before.life;
      node.platter.everOpened = true;
      for (String kept : new String[] {"set/seating", "set/seated"}) {
        node.platter.safe.put(kept, before.safe.get(kept));
      }
    };
    return history;
  }

  /** A claim that one holder acknowledged counts as if both had. */
  static History claimOfOneHolder(long seed) {
    History history = new History(seed);
    World world = history.world;
    world.keepersCaller = caller -> new Caller() {
      @Override
      public <A> CompletableFuture<A> call(String peer, Object ask, Class<A> answer, long timeoutMs) {
        Seating newest = world.newest();
        int last = -1;
        for (int i = 0; i < newest.seats.size(); i++) {
          boolean other = !(ask instanceof ClaimAsk claim) || claim.seat != i;
          String address = newest.seats.get(i).address;
          if (other && (last < 0 || address.compareTo(newest.seats.get(last).address) > 0)) {
            last = i;
          }
        }
        if (last >= 0 && newest.seats.get(last).address.equals(peer)) {
          CompletableFuture<A> told = new CompletableFuture<>();
          if (ask instanceof ClaimAsk claim) {
            ClaimTold held = new ClaimTold();
            held.held = true;
            held.seating = SeatingRules.with(newest, claim.seat, claim.holder);
            world.timers.after(1, () -> told.complete(answer.cast(held)));
            return told;
          }
          if (ask instanceof CopyAsk) {
            CopyTold empty = new CopyTold();
            empty.seated = true;
            empty.end = true;
            empty.life = newest.seats.get(last).life;
            world.timers.after(1, () -> told.complete(answer.cast(empty)));
            return told;
          }
        }
        return caller.call(peer, ask, answer, timeoutMs);
      }
    };
    return history;
  }

  /** Each kind by its name. */
  static Map<String, LongFunction<History>> all() {
    return Map.of("answers before the sync", Defects::answersBeforeSync,
        "votes after amnesia", Defects::votesAfterAmnesia,
        "a claim acknowledged by one", Defects::claimOfOneHolder);
  }
}
