package elmsail.controlplane;

import java.util.Random;

/** One node at a time is killed, loses its power or its disk, freezes or is cut off. */
final class OrderTrouble {
  private enum Kind {
    KILL,
    POWER_LOSS,
    WIPE,
    FREEZE,
    CUT_OFF
  }

  /** A replica whose disk was lost counts as lost until it has copied all, within this time. */
  private static final long CATCH_UP_MS = 4_900;

  private final World world;
  private final Random chance;
  private final int nodes;
  private String troubled;
  private Kind kind;
  private long ends;
  private long nextBegins;
  private int begun;

  OrderTrouble(World world, Random chance, int nodes) {
    this.world = world;
    this.chance = chance;
    this.nodes = nodes;
  }

  /** Begins or ends a trouble, or does nothing; called every few ms. */
  void step() {
    if (troubled == null && world.timers.now() >= nextBegins && chance.nextInt(150) == 0) {
      begin();
    } else if (troubled != null && world.timers.now() >= ends) {
      end();
    }
  }

  int begun() {
    return begun;
  }

  private void begin() {
    troubled = "n" + (1 + chance.nextInt(nodes));
    kind = Kind.values()[chance.nextInt(Kind.values().length)];
    ends = world.timers.now() + 100 + chance.nextInt(3_000);
    begun++;
    switch (kind) {
      case KILL -> world.kill(troubled);
      case POWER_LOSS -> {
        world.net.kill(world.address(troubled), false);
        world.disks.get(troubled).powerLoss();
      }
      case WIPE -> world.wipe(troubled);
      case FREEZE -> world.net.freeze(world.address(troubled));
      default -> world.net.isolate(world.address(troubled));
    }
  }

  /** Ends the trouble there is, if any. */
  void end() {
    if (troubled == null) {
      return;
    }
    String node = troubled;
    troubled = null;
    switch (kind) {
      case FREEZE -> world.net.thaw(world.address(node));
      case CUT_OFF -> world.net.healAll();
      default -> {
        world.controlPlane(node, false);
        nextBegins = world.timers.now() + (kind == Kind.WIPE ? CATCH_UP_MS : 0);
      }
    }
  }
}
