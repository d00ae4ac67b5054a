package elmsail.register;

import elmsail.inner.words.Ballot;
import elmsail.inner.words.ReadAsk;
import elmsail.inner.words.Seating;
import elmsail.inner.words.VoteTold;
import elmsail.register.Register.Held;
import elmsail.register.Register.Versioned;
import elmsail.register.Register.Wanted;
import elmsail.station.Code;
import elmsail.station.ElmsailException;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * One read: decided at once where a majority took the same ballot last, or none took any; otherwise what was
 * found is finished by a change that changes nothing. Only the nearest seat is asked for the value.
 */
final class Reading extends Trying<Versioned> {
  private static final long FINISH_AFTER_MS = 15;
  private final Ballot known;

  Reading(RegisterClient client, String key, Ballot known, long timeoutMs) {
    super(client, key, timeoutMs);
    this.known = known;
  }

  @Override
  Code codeIfOver() {
    return Code.NOT_REACHED;
  }

  @Override
  void attempt(Seating seating) {
    new Attempt(seating).ask();
  }

  private void finish() {
    int number = number();
    CompletableFuture<Held> finished = client.change(key, found -> new Wanted(null, List.of()), List.of(),
        null, Math.max(1, leftMs()));
    finished.whenComplete((held, failure) -> {
      if (!current(number)) {
        return;
      }
      if (held != null) {
        tell(held.now().ballot(), held.now().value());
      } else {
        failed(new ElmsailException(Code.NOT_REACHED, client.set() + " " + key, failure));
      }
    });
  }

  private void tell(Ballot ballot, byte[] value) {
    boolean spared = !Ballots.none(known) && Ballots.same(ballot, known);
    done(new Versioned(ballot, spared ? null : value));
  }

  private final class Attempt {
    private final int number = number();
    private final Seating seating;
    private final int seats;
    private final int majority;
    private final VoteTold[] told;
    private int answered;
    private int refused;
    private boolean settled;

    Attempt(Seating seating) {
      this.seating = seating;
      seats = seating.seats.size();
      majority = SeatingRules.majority(seats);
      told = new VoteTold[seats];
      refused = SeatingRules.vacant(seating);
    }

    void ask() {
      int[] order = client.nearestFirst(seating);
      for (int at = 0; at < seats; at++) {
        int seat = order[at];
        if (!SeatingRules.counts(seating, seat)) {
          continue;
        }
        client.caller.call(seating.seats.get(seat).address, ask(at > 0), VoteTold.class, callMs())
            .whenComplete((vote, failure) -> answered(seat, vote));
      }
    }

    private ReadAsk ask(boolean bare) {
      ReadAsk ask = new ReadAsk();
      ask.set = client.set();
      ask.key = key;
      ask.known = known;
      ask.seating = seating;
      ask.bare = bare;
      return ask;
    }

    private void answered(int seat, VoteTold vote) {
      if (!current(number)) {
        late(vote);
        return;
      }
      if (settled || renewed(seating, vote)) {
        return;
      }
      if (vote == null || vote.code != VoteTold.DONE) {
        if (++refused > seats - majority) {
          backOff();
        }
        return;
      }
      client.seen(vote.promised);
      told[seat] = vote;
      answered++;
      if (agreed(vote.accepted)) {
        settled = true;
        settle(vote.accepted);
      } else if (answered + refused == seats) {
        settled = true;
        finish();
      } else if (answered >= majority) {
        finishSoon();
      }
    }

    /** Gives the last ones a moment: an accept may be on its way to those that answered first. */
    private void finishSoon() {
      client.timers.after(FINISH_AFTER_MS, () -> {
        if (current(number) && !settled) {
          settled = true;
          finish();
        }
      });
    }

    private boolean agreed(Ballot accepted) {
      int same = 0;
      for (VoteTold one : told) {
        if (one != null && Ballots.same(one.accepted, accepted) && (!one.copied || Ballots.none(accepted))) {
          same++;
        }
      }
      return same >= majority;
    }

    private void settle(Ballot accepted) {
      if (Ballots.none(accepted) || Ballots.same(accepted, known)) {
        tell(accepted, null);
        return;
      }
      int holder = -1;
      for (int i = 0; i < seats; i++) {
        if (told[i] != null && Ballots.same(told[i].accepted, accepted)) {
          if (told[i].value != null) {
            tell(accepted, told[i].value);
            return;
          }
          holder = i;
        }
      }
      client.caller.call(seating.seats.get(holder).address, ask(false), VoteTold.class, callMs())
          .whenComplete((vote, failure) -> {
            if (!current(number)) {
              return;
            }
            boolean same = vote != null && vote.code == VoteTold.DONE
                && Ballots.same(vote.accepted, accepted) && vote.value != null;
            if (same) {
              tell(accepted, vote.value);
            } else {
              again();
            }
          });
    }
  }
}
