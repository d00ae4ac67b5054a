package elmsail.lots.store;

import elmsail.inner.Caller;
import elmsail.inner.words.Note;
import elmsail.inner.words.Seat;
import elmsail.register.Register;
import elmsail.station.Timers;
import elmsail.timetable.Known;
import java.util.List;
import java.util.Random;
import java.util.function.BiConsumer;

/**
 * What a door's parts work with, all on the loop.
 *
 * @param self this door's inner address
 * @param cancelMs within which no item of an ended lot may be sent any more
 */
public record Tools(Register register, Caller caller, Timers timers, Known known, String self, Random chance,
    long cancelMs) {

  public List<Seat> keepers() {
    return known.roster().shelf.seats;
  }

  /** How many keepers are a majority; 1 where there are none, so that nothing is ever agreed. */
  public int majority() {
    return keepers().size() / 2 + 1;
  }

  /** Asks every keeper; {@code told} hears a null for each that gave no answer, so as many as there are. */
  public void askKeepers(Note ask, long timeoutMs, BiConsumer<Seat, Note> told) {
    for (Seat seat : keepers()) {
      caller.call(seat.address, ask, Note.class, timeoutMs)
          .whenComplete((answer, failed) ->
              told.accept(seat, failed == null && ask.kind.equals(answer.kind) ? answer : null));
    }
  }

  /** Between half as long and half again. */
  public long about(long ms) {
    return ms / 2 + (long) (chance.nextDouble() * ms);
  }
}
