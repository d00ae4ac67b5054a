package willowdoor.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Composes and sends messages. A message with gossip carries a suspicion or failure of the receiver
 * first, so that the receiver can refute it, and then the least transmitted statements.
 */
final class MessageSender {

  private final Roster roster;
  private final Timing timing;
  private final LocalMember localMember;
  private final View view;
  private final GossipQueue gossip;
  private final EncodedSizes sizes;
  private final Effects effects;

  /**
   * Failures of members that are present in the own view, as reported by others in an exchange.
   * Messages to such a member carry the report until its statement changes.
   */
  private final Map<Integer, Statement> pendingFailureReports = new HashMap<>();

  MessageSender(
      Roster roster,
      Timing timing,
      LocalMember localMember,
      View view,
      GossipQueue gossip,
      EncodedSizes sizes,
      Effects effects) {
    this.roster = roster;
    this.timing = timing;
    this.localMember = localMember;
    this.view = view;
    this.gossip = gossip;
    this.sizes = sizes;
    this.effects = effects;
  }

  /** Adds a report for the member that it concerns; false if one was pending already. */
  boolean addFailureReport(Statement received) {
    return pendingFailureReports.put(received.member(), received) == null;
  }

  /** Removes the report for the member after the member's statement has changed. */
  void clearFailureReport(int member) {
    pendingFailureReports.remove(member);
  }

  void send(int to, Message.Body body) {
    List<Statement> statements = new ArrayList<>();
    int room =
        sizes.statementRoom()
            - (body instanceof Message.ExchangeRequest e ? e.pageChecksums().length : 0);
    Statement known = pendingFailureReports.getOrDefault(to, view.get(to));
    boolean suspected = known.state() == MemberState.SUSPECT && timing.lifeguard();
    if (suspected || !known.state().present() && known.generation() > 0) {
      statements.add(known);
      room -= sizes.of(known);
    }
    gossip.fill(
        Math.min(room, timing.gossipBytes()),
        Math.min(room, timing.urgentGossipBytes()),
        statements);
    send(to, body, statements);
  }

  void send(int to, Message.Body body, List<Statement> statements) {
    Statement own = localMember.statement();
    Message.Header header =
        new Message.Header(
            own.member(), to, own.generation(), view.digest(), roster.version(), roster.hash());
    effects.send(to, new Message(header, body, statements));
  }
}
