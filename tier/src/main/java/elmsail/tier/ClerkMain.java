package elmsail.tier;

import elmsail.station.NettyLoop;
import elmsail.station.Settings;

/** The data plane's program: serves {@code counter}. */
public final class ClerkMain implements Program {

  private ClerkMain() {
  }

  public static void main(String[] args) {
    Launch.main(new ClerkMain(), args);
  }

  @Override
  public String name() {
    return "clerk";
  }

  /** Listens, and joins the others. */
  @Override
  public Running start(Settings settings, NettyLoop loop) {
    return new Counter(settings, loop);
  }
}
