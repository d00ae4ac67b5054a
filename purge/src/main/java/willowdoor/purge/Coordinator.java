package willowdoor.purge;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import willowdoor.purge.Callers.Caller;
import willowdoor.purge.Message.Accepted;
import willowdoor.purge.Message.Applied;
import willowdoor.purge.Message.Ask;
import willowdoor.purge.Message.Claim;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.Noted;
import willowdoor.purge.Message.Reason;
import willowdoor.purge.Message.Refused;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.State;
import willowdoor.purge.Message.Told;

/**
 * Carries out the purges that one front door is called for. Times are this process's monotonic ms,
 * read after the call or message at hand was read and before anything is sent.
 */
final class Coordinator {
  private static final int MAX_QUESTIONS = 256;
  private static final int MAX_TELLING = 256;
  private static final int TELL_TIMES = 5;
  private static final long GIVE_UP_MS = 60_000;

  private record Ended(Claim claim, String customer, Result result) {}

  private final Fleet fleet;
  private long numbers;
  private final Rounds rounds;
  private final Callers callers;
  private final Memory<Ended> ended;
  private final LinkedHashMap<PurgeId, Repeat> questions;

  /** By run, the word to the keepers that it is done. */
  private final LinkedHashMap<Long, Repeat> telling;

  Coordinator(Fleet fleet, int self, long boot, Rules rules) {
    this(fleet, new Rounds(fleet, self, boot, rules), new Callers(), new Memory<>());
  }

  Coordinator(Coordinator other) {
    this(
        other.fleet,
        new Rounds(other.rounds),
        new Callers(other.callers),
        new Memory<>(other.ended));
    numbers = other.numbers;
    other.questions.forEach((id, question) -> questions.put(id, new Repeat(question)));
    other.telling.forEach((run, word) -> telling.put(run, new Repeat(word)));
  }

  private Coordinator(Fleet fleet, Rounds rounds, Callers callers, Memory<Ended> ended) {
    this.fleet = fleet;
    this.rounds = rounds;
    this.callers = callers;
    this.ended = ended;
    questions = new LinkedHashMap<>();
    telling = new LinkedHashMap<>();
  }

  /** Whether {@link #tick} is needed, each few ms. */
  boolean busy() {
    return !rounds.isEmpty() || !callers.isEmpty() || !telling.isEmpty();
  }

  /**
   * A customer's call for a purge.
   *
   * @param caller a number that its {@link Effect.Answer} carries, used once
   * @param deadline when the caller's time is over
   */
  List<Effect> take(long now, long caller, PurgeId id, Scope scope, long deadline) {
    List<Effect> effects = new ArrayList<>();
    Claim claim = new Claim(id, scope.mark());
    Ended before = ended.get(id);
    Round round = rounds.find(id);
    if (before != null) {
      effects.add(
          new Effect.Answer(
              caller,
              before.claim.equals(claim)
                  ? complete(before)
                  : new Outcome.Rejected(id, Outcome.Why.KEY_USED)));
    } else if (round != null && !round.claims().containsValue(claim)) {
      effects.add(new Effect.Answer(caller, new Outcome.Rejected(id, Outcome.Why.KEY_USED)));
    } else if (callers.full()) {
      effects.add(new Effect.Answer(caller, new Outcome.Unavailable(id, Outcome.Why.BUSY)));
    } else {
      questions.remove(id);
      Outcome refused = round == null ? rounds.place(claim, scope) : null;
      if (refused != null) {
        effects.add(new Effect.Answer(caller, refused));
      } else {
        callers.add(id, new Caller(caller, scope.customer(), false, deadline));
        effects.addAll(rounds.start(now));
      }
    }
    return effects;
  }

  /**
   * A customer's question how a purge goes; an unfinished one that this front door does not know is
   * taken up.
   */
  List<Effect> ask(long now, long caller, PurgeId id, String customer, long deadline) {
    List<Effect> effects = new ArrayList<>();
    Ended before = ended.get(id);
    Round round = rounds.find(id);
    boolean others =
        before != null && !before.customer.equals(customer)
            || round != null && !round.purge().scope().customer().equals(customer);
    if (others) {
      effects.add(new Effect.Answer(caller, new Outcome.Unknown(id)));
    } else if (before != null) {
      effects.add(new Effect.Answer(caller, complete(before)));
    } else if (callers.full() || round == null && questions.size() >= MAX_QUESTIONS) {
      effects.add(new Effect.Answer(caller, new Outcome.Unavailable(id, Outcome.Why.BUSY)));
    } else {
      callers.add(id, new Caller(caller, customer, true, deadline));
      if (round == null && !questions.containsKey(id)) {
        Ask ask = new Ask(++numbers, id);
        Repeat question = new Repeat(ask, fleet.keepers(), now, fleet.timing(), Integer.MAX_VALUE);
        questions.put(id, question);
        effects.addAll(question.due(now, fleet.timing()));
      }
    }
    return effects;
  }

  /** The caller has gone; what it called for goes on. */
  void leave(long caller) {
    callers.leave(caller);
    questions.keySet().removeIf(id -> !callers.waitFor(id));
  }

  List<Effect> on(long now, int from, Message message) {
    List<Effect> effects = new ArrayList<>();
    if (message instanceof Accepted accepted && rounds.out(accepted.run()) != null) {
      rounds.out(accepted.run()).on(now, from, accepted);
      settle(now, rounds.out(accepted.run()), effects);
    } else if (message instanceof Applied applied && rounds.out(applied.run()) != null) {
      rounds.out(applied.run()).on(from, applied);
      settle(now, rounds.out(applied.run()), effects);
    } else if (message instanceof Refused refused && rounds.out(refused.run()) != null) {
      refused(now, rounds.out(refused.run()), refused, effects);
    } else if (message instanceof Noted noted && telling.containsKey(noted.run())) {
      telling.get(noted.run()).to.remove(from);
      telling.values().removeIf(Repeat::over);
    } else if (message instanceof Told told) {
      told(now, from, told, effects);
    }
    return effects;
  }

  List<Effect> tick(long now) {
    List<Effect> effects = new ArrayList<>();
    for (Round round : rounds.out()) {
      settle(now, round, effects);
      if (rounds.out(round.purge().run()) == null) {
        continue;
      }
      long age = now - round.startedAt();
      if (!round.committed() && age >= fleet.timing().boundMs() / 2) {
        Outcome.Why why = round.full() ? Outcome.Why.BUSY : Outcome.Why.NO_MAJORITY;
        List.copyOf(round.claims().keySet()).forEach(id -> fail(id, why, effects));
      } else if (age >= GIVE_UP_MS) {
        rounds.remove(round);
        round.claims().keySet().forEach(id -> answer(id, new Outcome.Pending(id), effects));
      } else {
        effects.addAll(round.due(now));
      }
    }
    callers.late(now).forEach(id -> late(now, id, effects));
    for (Repeat question : questions.values()) {
      effects.addAll(question.due(now, fleet.timing()));
    }
    for (Repeat word : telling.values()) {
      effects.addAll(word.due(now, fleet.timing()));
    }
    telling.values().removeIf(Repeat::over);
    effects.addAll(rounds.start(now));
    return effects;
  }

  private void settle(long now, Round round, List<Effect> effects) {
    if (!round.complete(now)) {
      return;
    }
    rounds.remove(round);
    for (Claim claim : round.claims().values()) {
      end(now, claim, round.purge().scope(), round.result(), effects);
    }
    Message done = new Done(round.purge(), List.copyOf(round.claims().values()), round.result());
    Repeat word = new Repeat(done, fleet.keepers(), now, fleet.timing(), TELL_TIMES);
    effects.addAll(word.due(now, fleet.timing()));
    telling.put(round.purge().run(), word);
    if (telling.size() > MAX_TELLING) {
      telling.remove(telling.keySet().iterator().next());
    }
    effects.addAll(rounds.start(now));
  }

  /** The purge is complete, here or by a keeper's word. */
  private void end(long now, Claim claim, Scope scope, Result result, List<Effect> effects) {
    Ended end = new Ended(claim, scope.customer(), result);
    ended.put(now, claim.id(), end);
    questions.remove(claim.id());
    for (Caller one : callers.take(claim.id())) {
      boolean owns = one.customer().equals(scope.customer());
      effects.add(
          new Effect.Answer(one.caller(), owns ? complete(end) : new Outcome.Unknown(claim.id())));
    }
  }

  private static Outcome complete(Ended end) {
    return new Outcome.Complete(end.claim.id(), end.result.confirmed(), end.result.ranOut());
  }

  private void answer(PurgeId id, Outcome outcome, List<Effect> effects) {
    for (Caller one : callers.take(id)) {
      effects.add(new Effect.Answer(one.caller(), outcome));
    }
  }

  /** The id is taken out of its run, so that a further call with its key begins a new one. */
  private void fail(PurgeId id, Outcome.Why why, List<Effect> effects) {
    rounds.drop(id);
    questions.remove(id);
    answer(id, new Outcome.Unavailable(id, why), effects);
  }

  /**
   * A caller's time is over. Where it called for a purge that is not committed, all that wait for
   * the id are told that it is not taken; any other goes alone.
   */
  private void late(long now, PurgeId id, List<Effect> effects) {
    Round round = rounds.find(id);
    boolean committed = round != null && round.committed();
    List<Caller> list = callers.take(id);
    if (round == null
        || !committed && list.stream().anyMatch(one -> !one.asks() && one.deadline() <= now)) {
      list.forEach(one -> callers.add(id, one));
      fail(
          id,
          round != null && !round.started() ? Outcome.Why.BUSY : Outcome.Why.NO_MAJORITY,
          effects);
      return;
    }
    for (Caller one : list) {
      if (one.deadline() > now) {
        callers.add(id, one);
      } else {
        effects.add(
            new Effect.Answer(
                one.caller(),
                committed
                    ? new Outcome.Pending(id)
                    : new Outcome.Unavailable(id, Outcome.Why.NO_MAJORITY)));
      }
    }
  }

  private void refused(long now, Round round, Refused refused, List<Effect> effects) {
    if (refused.reason() == Reason.FULL) {
      round.refusedForRoom();
    } else if (refused.reason() == Reason.KEY_USED
        && !round.committed()
        && round.claims().containsKey(refused.id())) {
      rounds.drop(refused.id());
      answer(refused.id(), new Outcome.Rejected(refused.id(), Outcome.Why.KEY_USED), effects);
      effects.addAll(rounds.start(now));
    }
  }

  private void told(long now, int from, Told told, List<Effect> effects) {
    Claim claim = new Claim(told.id(), told.mark());
    Round round = rounds.find(told.id());
    Repeat question = questions.get(told.id());
    boolean asked = question != null && question.message.equals(new Ask(told.number(), told.id()));
    if (told.state() == State.DONE
        && (asked || round != null && round.claims().containsValue(claim))) {
      rounds.drop(told.id());
      end(now, claim, told.scope(), told.result(), effects);
      effects.addAll(rounds.start(now));
    } else if (told.state() == State.OPEN && asked) {
      for (Caller one : callers.take(told.id())) {
        if (one.customer().equals(told.scope().customer())) {
          callers.add(told.id(), one);
        } else {
          effects.add(new Effect.Answer(one.caller(), new Outcome.Unknown(told.id())));
        }
      }
      Outcome refused = callers.waitFor(told.id()) ? rounds.place(claim, told.scope()) : null;
      questions.remove(told.id());
      if (refused != null) {
        answer(told.id(), refused, effects);
      }
      effects.addAll(rounds.start(now));
    } else if (told.state() == State.UNKNOWN && asked) {
      question.to.remove(from);
      if (fleet.keepers().size() - question.to.size() >= fleet.majority()) {
        questions.remove(told.id());
        answer(told.id(), new Outcome.Unknown(told.id()), effects);
      }
    }
  }
}
