package willowdoor.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Anti-entropy: exchanges views at a regular interval with a random member, additionally when views
 * differ, and to join. The requester sends checksums of its pages, the responder sends its
 * statements on the pages that differ, and the requester sends back its statements that supersede
 * those.
 */
final class AntiEntropy {

  /**
   * Maximum number of datagrams of a response; later exchanges transfer the remaining statements.
   */
  private static final int MAX_RESPONSE_PARTS = 4;

  /** Maximum number of responses, and of direct failure notices, per exchange gap. */
  private static final int MAX_PER_GAP = 4;

  /** Number of members that receive a request in each attempt to join. */
  private static final int JOIN_REQUESTS = 2;

  /** Only responses to this number of latest requests are processed; older ones are ignored. */
  private static final int RECENT_REQUESTS = 8;

  private final ProtocolContext context;
  private final View view;
  private final int self;
  private final Timing timing;
  private final EncodedSizes sizes;
  private final RandomGenerator random;
  private final long joinAloneAt;

  /** Received parts of the responses that a join waits for: a bit set by request number. */
  private final Map<Long, Integer> receivedParts = new HashMap<>();

  private long seq;
  private long nextJoin;
  private long nextExchange;

  /** The earliest time of the next extra exchange. */
  private long nextExtraExchange;

  private final RateLimiter responseLimiter;
  private final RateLimiter failureNoticeLimiter;

  AntiEntropy(
      ProtocolContext context,
      View view,
      int self,
      Timing timing,
      EncodedSizes sizes,
      RandomGenerator random,
      long now) {
    this.context = context;
    this.view = view;
    this.self = self;
    this.timing = timing;
    this.sizes = sizes;
    this.random = random;
    nextJoin = now;
    nextExchange = now + random.nextLong(timing.exchangeMs());
    nextExtraExchange = now;
    joinAloneAt = now + timing.joinAloneMs();
    responseLimiter = new RateLimiter(MAX_PER_GAP, timing.exchangeGapMs(), now);
    failureNoticeLimiter = new RateLimiter(MAX_PER_GAP, timing.exchangeGapMs(), now);
  }

  long nextWake(boolean joined) {
    return joined ? nextExchange : Math.min(nextJoin, joinAloneAt);
  }

  void tick(boolean joined, long now) {
    if (!joined) {
      join(now);
    } else if (now >= nextExchange) {
      nextExchange = now + timing.exchangeMs();
      int other = randomMember(true);
      if (other >= 0) {
        sendRequest(other, now);
      }
    }
  }

  /** Delays the timers by the time for which this process was stalled. */
  void postpone(long ms) {
    nextExchange += ms;
    nextJoin += ms;
  }

  private void join(long now) {
    if (now >= joinAloneAt || view.size() == 1) {
      context.joinCompleted();
      return;
    }
    if (now >= nextJoin) {
      nextJoin = now + timing.joinRetryMs();
      receivedParts.clear();
      for (int i = 0; i < JOIN_REQUESTS; i++) {
        sendRequest(randomMember(false), now);
      }
    }
  }

  /** A random other member, of all or of the present ones only; -1 if there is none. */
  private int randomMember(boolean presentOnly) {
    int candidates =
        presentOnly ? view.present() - (view.get(self).state().present() ? 1 : 0) : view.size() - 1;
    int chosen = candidates <= 0 ? -1 : random.nextInt(candidates);
    for (int i = 0; chosen >= 0 && i < view.size(); i++) {
      if (i != self && (!presentOnly || view.get(i).state().present()) && chosen-- == 0) {
        return i;
      }
    }
    return -1;
  }

  private void sendRequest(int other, long now) {
    nextExtraExchange =
        now + timing.exchangeGapMs() + random.nextLong(timing.exchangeGapMs() / 2 + 1);
    context.count(Count.EXCHANGES);
    context.send(other, new Message.ExchangeRequest(++seq, view.pageChecksums(seq)));
  }

  /**
   * Starts an extra exchange with a member whose view differs, if the member was absent until now
   * or if no member has sent the own view's digest for too long.
   */
  void handleDifferingView(int from, boolean absent, boolean noEqualView, long now) {
    if ((absent || noEqualView) && now >= nextExtraExchange) {
      sendRequest(from, now);
    }
  }

  /** Whether the rate limit allows one more response. */
  boolean tryAcquireResponse(long now) {
    boolean allowed = responseLimiter.tryAcquire(now);
    if (!allowed) {
      context.count(Count.ANSWERS_SPARED);
    }
    return allowed;
  }

  /** Whether the rate limit allows one more notice to a member that others regard as failed. */
  boolean tryAcquireFailureNotice(long now) {
    return failureNoticeLimiter.tryAcquire(now);
  }

  /**
   * Responds with the statements on the pages that differ, starting at a random statement, within
   * the limit of datagrams.
   */
  void handleRequest(int from, Message.ExchangeRequest exchange, boolean sameRoster, long now) {
    if (!tryAcquireResponse(now)) {
      return;
    }
    context.count(Count.ANSWERS);
    List<Statement> all = new ArrayList<>();
    for (int page :
        view.differingPages(sameRoster ? exchange.pageChecksums() : new byte[0], exchange.seq())) {
      view.page(page).stream()
          .filter(s -> s.generation() > 0 && s.member() != from)
          .forEach(all::add);
    }
    int begin = all.isEmpty() ? 0 : random.nextInt(all.size());
    List<Statement> inOrder = new ArrayList<>();
    // The statement about the requester comes first: the requester uses the statement to decide
    // whether to raise its generation.
    if (view.get(from).generation() > 0) {
      inOrder.add(view.get(from));
    }
    inOrder.addAll(all.subList(begin, all.size()));
    inOrder.addAll(all.subList(0, begin));
    List<List<Statement>> responseParts = splitIntoParts(inOrder);
    int sent = responseParts.stream().mapToInt(List::size).sum();
    for (int i = 0; i < responseParts.size(); i++) {
      Message.ExchangeResponse part =
          new Message.ExchangeResponse(
              exchange.seq(), i, responseParts.size(), inOrder.size() - sent);
      context.send(from, part, responseParts.get(i));
    }
  }

  /** Splits into at least one and at most {@link #MAX_RESPONSE_PARTS} parts; omits the rest. */
  private List<List<Statement>> splitIntoParts(List<Statement> statements) {
    List<List<Statement>> parts = new ArrayList<>();
    parts.add(new ArrayList<>());
    int room = sizes.statementRoom();
    for (Statement statement : statements) {
      int size = sizes.of(statement);
      if (size > room || parts.get(parts.size() - 1).size() == Message.MAX_STATEMENTS) {
        if (parts.size() == MAX_RESPONSE_PARTS) {
          return parts;
        }
        parts.add(new ArrayList<>());
        room = sizes.statementRoom();
      }
      parts.get(parts.size() - 1).add(statement);
      room -= size;
    }
    return parts;
  }

  /**
   * The own statements that supersede those in one part of a response. To be called before that
   * part is merged.
   */
  List<Statement> newerThan(List<Statement> received) {
    List<Statement> newer = new ArrayList<>();
    for (Statement statement : received) {
      Statement known = view.get(statement.member());
      if (known.supersedes(statement)) {
        newer.add(known);
      }
    }
    return newer;
  }

  /** Handles one part of a response after its statements were merged. */
  void handleResponse(
      int from,
      Message.ExchangeResponse response,
      List<Statement> newer,
      boolean joined,
      long now) {
    if (response.seq() > seq || response.seq() <= seq - RECENT_REQUESTS) {
      return;
    }
    if (!newer.isEmpty()) {
      splitIntoParts(newer)
          .forEach(b -> context.send(from, new Message.ExchangeUpdate(response.seq()), b));
    }
    if (joined) {
      return;
    }
    int received = receivedParts.merge(response.seq(), 1 << response.part(), (a, b) -> a | b);
    if (Integer.bitCount(received) == response.parts()) {
      if (response.remaining() == 0) {
        context.joinCompleted();
      } else {
        nextJoin = now;
      }
    }
  }
}
