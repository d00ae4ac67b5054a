package elmsail.tier;

import elmsail.station.NettyLoop;
import elmsail.station.Settings;

/** The control plane's program: serves {@code head_office}, or keeps lots at a {@code vault}. */
public final class NotaryMain implements Program {

  private NotaryMain() {
  }

  public static void main(String[] args) {
    Launch.main(new NotaryMain(), args);
  }

  @Override
  public String name() {
    return "notary";
  }

  /** Here the notary is put together. */
  @Override
  public Running start(Settings settings, NettyLoop loop) {
    return new Unready(settings, loop, "control");
  }
}
