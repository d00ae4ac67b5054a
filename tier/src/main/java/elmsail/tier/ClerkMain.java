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

  /** Here the clerk is put together. */
  @Override
  public Running start(Settings settings, NettyLoop loop) {
    return new Unready(settings, loop, "front", "ready");
  }
}
