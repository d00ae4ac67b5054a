package willowdoor.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Exchanges views: regularly with one random member, out of turn where views differ, and to join.
 * The asker sends prints of its pages, the other what it has on those that differ, the asker what
 * it knows better.
 */
final class Exchanger {

  /** Datagrams of one answer at most; what is left is asked for again. */
  private static final int MOST_PARTS = 4;

  /** Answers within one gap between exchanges at most, and members told of a dispute. */
  private static final int MOST_AT_ONCE = 4;

  /** Members asked at once to join. */
  private static final int JOIN_ASKS = 2;

  /** Answers to exchanges before these are not answered in turn. */
  private static final int RECENT = 8;

  private final Core core;
  private final View view;
  private final int self;
  private final Timing timing;
  private final Sizes sizes;
  private final RandomGenerator random;
  private final long aloneAt;

  /** Parts that have come of the answers that a join waits for, as bits. */
  private final Map<Long, Integer> parts = new HashMap<>();

  private long seq;
  private long nextJoin;
  private long nextExchange;

  /** From when an exchange out of turn may be. */
  private long free;

  private final Rate answers;
  private final Rate tells;

  Exchanger(
      Core core,
      View view,
      int self,
      Timing timing,
      Sizes sizes,
      RandomGenerator random,
      long now) {
    this.core = core;
    this.view = view;
    this.self = self;
    this.timing = timing;
    this.sizes = sizes;
    this.random = random;
    nextJoin = now;
    nextExchange = now + random.nextLong(timing.exchange());
    free = now;
    aloneAt = now + timing.joinAlone();
    answers = new Rate(MOST_AT_ONCE, timing.exchangeGap(), now);
    tells = new Rate(MOST_AT_ONCE, timing.exchangeGap(), now);
  }

  long next(boolean joined) {
    return joined ? nextExchange : Math.min(nextJoin, aloneAt);
  }

  void tick(boolean joined, long now) {
    if (!joined) {
      join(now);
    } else if (now >= nextExchange) {
      nextExchange = now + timing.exchange();
      int other = other(true);
      if (other >= 0) {
        ask(other, now);
      }
    }
  }

  /** The process was held up for so long. */
  void putOff(long ms) {
    nextExchange += ms;
    nextJoin += ms;
  }

  private void join(long now) {
    if (now >= aloneAt || view.size() == 1) {
      core.joined();
      return;
    }
    if (now >= nextJoin) {
      nextJoin = now + timing.joinRetry();
      parts.clear();
      for (int i = 0; i < JOIN_ASKS; i++) {
        ask(other(false), now);
      }
    }
  }

  /** Another member by chance, of the present ones only or of all; -1 where none is present. */
  private int other(boolean present) {
    int candidates =
        present ? view.present() - (view.get(self).state().present() ? 1 : 0) : view.size() - 1;
    int chosen = candidates <= 0 ? -1 : random.nextInt(candidates);
    for (int i = 0; chosen >= 0 && i < view.size(); i++) {
      if (i != self && (!present || view.get(i).state().present()) && chosen-- == 0) {
        return i;
      }
    }
    return -1;
  }

  private void ask(int other, long now) {
    free = now + timing.exchangeGap() + random.nextLong(timing.exchangeGap() / 2 + 1);
    core.count(Count.EXCHANGES);
    core.send(other, new Message.Exchange(++seq, view.prints(seq)));
  }

  /**
   * A member was heard whose view differs: it was absent until now, or nobody has the own view any
   * more.
   */
  void differs(int from, boolean absent, boolean outOfStep, long now) {
    if ((absent || outOfStep) && now >= free) {
      ask(from, now);
    }
  }

  /** Whether one more answer is within the rate. */
  boolean mayAnswer(long now) {
    boolean may = answers.take(now);
    if (!may) {
      core.count(Count.ANSWERS_SPARED);
    }
    return may;
  }

  /** Whether one more member may be told at once that others hold it for failed. */
  boolean mayTell(long now) {
    return tells.take(now);
  }

  /** Answers with all that differs, from a place by chance on, as far as it may be sent at once. */
  void asked(int from, Message.Exchange exchange, boolean sameRoster, long now) {
    if (!mayAnswer(now)) {
      return;
    }
    core.count(Count.ANSWERS);
    List<Statement> all = new ArrayList<>();
    for (int page : view.differing(sameRoster ? exchange.prints() : new byte[0], exchange.seq())) {
      view.page(page).stream()
          .filter(s -> s.generation() > 0 && s.member() != from)
          .forEach(all::add);
    }
    int begin = all.isEmpty() ? 0 : random.nextInt(all.size());
    List<Statement> inOrder = new ArrayList<>();
    // What is known of the asker decides whether it may go by its generation.
    if (view.get(from).generation() > 0) {
      inOrder.add(view.get(from));
    }
    inOrder.addAll(all.subList(begin, all.size()));
    inOrder.addAll(all.subList(0, begin));
    List<List<Statement>> filled = fill(inOrder);
    int sent = filled.stream().mapToInt(List::size).sum();
    for (int i = 0; i < filled.size(); i++) {
      Message.Pages part =
          new Message.Pages(exchange.seq(), i, filled.size(), inOrder.size() - sent);
      core.send(from, part, filled.get(i));
    }
  }

  /** One part at least, and no more than may be sent at once. */
  private List<List<Statement>> fill(List<Statement> statements) {
    List<List<Statement>> filled = new ArrayList<>();
    filled.add(new ArrayList<>());
    int room = sizes.room();
    for (Statement statement : statements) {
      int size = sizes.of(statement);
      if (size > room || filled.get(filled.size() - 1).size() == Message.MOST_NEWS) {
        if (filled.size() == MOST_PARTS) {
          return filled;
        }
        filled.add(new ArrayList<>());
        room = sizes.room();
      }
      filled.get(filled.size() - 1).add(statement);
      room -= size;
    }
    return filled;
  }

  /** Of what one part of an answer tells, what is known better here; before it is taken over. */
  List<Statement> better(List<Statement> told) {
    List<Statement> better = new ArrayList<>();
    for (Statement statement : told) {
      Statement mine = view.get(statement.member());
      if (mine.supersedes(statement)) {
        better.add(mine);
      }
    }
    return better;
  }

  /** One part of an answer has come and was taken over. */
  void answered(int from, Message.Pages pages, List<Statement> better, boolean joined, long now) {
    if (pages.seq() > seq || pages.seq() <= seq - RECENT) {
      return;
    }
    if (!better.isEmpty()) {
      fill(better).forEach(b -> core.send(from, new Message.Better(pages.seq()), b));
    }
    if (joined) {
      return;
    }
    int come = parts.merge(pages.seq(), 1 << pages.part(), (a, b) -> a | b);
    if (Integer.bitCount(come) == pages.parts()) {
      if (pages.left() == 0) {
        core.joined();
      } else {
        nextJoin = now;
      }
    }
  }
}
