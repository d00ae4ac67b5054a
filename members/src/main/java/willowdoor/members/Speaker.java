package willowdoor.members;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Puts messages together: what the receiver should hear of itself first, then what was told least.
 */
final class Speaker {

  private final Roster roster;
  private final Timing timing;
  private final Self self;
  private final View view;
  private final Gossip gossip;
  private final Sizes sizes;
  private final Effects effects;

  /**
   * Failures that others told in an exchange of members that are present here; these are told of
   * them.
   */
  private final Map<Integer, Statement> owed = new HashMap<>();

  Speaker(
      Roster roster,
      Timing timing,
      Self self,
      View view,
      Gossip gossip,
      Sizes sizes,
      Effects effects) {
    this.roster = roster;
    this.timing = timing;
    this.self = self;
    this.view = view;
    this.gossip = gossip;
    this.sizes = sizes;
    this.effects = effects;
  }

  /** The member is to hear this of itself; false where it was owed something before. */
  boolean owe(Statement told) {
    return owed.put(told.member(), told) == null;
  }

  /** Something else holds of the member now. */
  void settled(int member) {
    owed.remove(member);
  }

  void say(int to, Message.Body body) {
    List<Statement> news = new ArrayList<>();
    int room = sizes.room() - (body instanceof Message.Exchange e ? e.prints().length : 0);
    Statement known = owed.getOrDefault(to, view.get(to));
    boolean accused = known.state() == MemberState.SUSPECT && timing.lifeguard();
    if (accused || !known.state().present() && known.generation() > 0) {
      news.add(known);
      room -= sizes.of(known);
    }
    gossip.take(Math.min(room, timing.newsBytes()), Math.min(room, timing.urgentBytes()), news);
    say(to, body, news);
  }

  void say(int to, Message.Body body, List<Statement> statements) {
    Statement own = self.statement();
    Message.Header header =
        new Message.Header(
            own.member(), to, own.generation(), view.digest(), roster.version(), roster.hash());
    effects.send(to, new Message(header, body, statements));
  }
}
